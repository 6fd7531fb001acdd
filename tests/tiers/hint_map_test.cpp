// The cache tiers of many routers, on a network that loses, duplicates, reorders and partitions.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "simulated_network.h"

namespace lemonroute::tiers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Key session = 77, shared_prefix = 99;

bool has_hint(SimulatedNetwork& network, std::size_t i, const Node& device, Key key = session) {
  for (const auto& hint : network.at(i).map()->cache_locations(key, 0))
    if (hint.node == device.name)
      return true;
  return false;
}
bool all_have_hint(SimulatedNetwork& network, const Node& device, bool wanted, std::size_t step = 1) {
  for (std::size_t i = 0; i < network.size(); i += step)
    if (has_hint(network, i, device) != wanted)
      return false;
  return true;
}
void record_prefill(SimulatedNetwork& network, std::size_t i, std::size_t device, Key key = session,
                    double tokens = 8000) {
  network.at(i).on_prefix_cached(network.device(device), key, 0, tokens, 0, network.now());
}

class CacheTiersOnNetwork : public testing::TestWithParam<int> {
 protected:
  // 12 routers in two sites of one region, unless a test changes it. Datagrams are lost, duplicated and
  // reordered.
  NetworkOptions options() const {
    NetworkOptions options;
    options.routers = 12;
    options.sites = 2;
    options.loss_rate = 0.1 * (GetParam() % 4);
    options.duplicate_rate = 0.2;
    options.seed = static_cast<std::uint64_t>(GetParam());
    return options;
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds, CacheTiersOnNetwork, testing::Range(1, 13));

TEST_P(CacheTiersOnNetwork, CachedKeyBecomesAHintInItsSiteAndAfterASecondSightingInItsRegion) {
  SimulatedNetwork network(options());
  network.run(seconds(2));
  record_prefill(network, 0, 3);
  EXPECT_LT(
      network.run_until([&] { return all_have_hint(network, network.device(3), true, 2); }, seconds(60)),
      seconds(15));
  EXPECT_FALSE(has_hint(network, 1, network.device(3)));  // a single sighting may be false
  record_prefill(network, 2, 3);
  EXPECT_LT(network.run_until([&] { return all_have_hint(network, network.device(3), true); }, seconds(60)),
            seconds(30));
  for (const std::size_t i : {0, 2})
    record_prefill(network, i, 4, session + 1, 500);  // too few tokens for a transfer between sites
  network.run(seconds(20));
  EXPECT_TRUE(has_hint(network, 2, network.device(4), session + 1));
  EXPECT_FALSE(has_hint(network, 1, network.device(4), session + 1));
}

TEST_P(CacheTiersOnNetwork, CacheLossInvalidatesHintsEverywhereWithinASecondAndIsReportedToTheCore) {
  SimulatedNetwork network(options());
  network.run(seconds(6));
  for (const std::size_t i : {0, 2})
    record_prefill(network, i, 3), record_prefill(network, i, 4, session + 1);
  ASSERT_LT(network.run_until([&] { return all_have_hint(network, network.device(3), true); }, seconds(60)),
            seconds(40));
  const auto since = network.now();
  network.at(5).on_cache_lost(network.device(3), network.now());
  network.run(seconds(1));
  EXPECT_TRUE(all_have_hint(network, network.device(3), false));
  for (std::size_t i = 0; i < network.size(); ++i) {
    EXPECT_EQ(network.at(i).map()->cache_lost_at(network.device(3)) >= since, i != 5) << i;
    EXPECT_EQ(network.at(i).map()->cache_lost_at(network.device(4)), Micros{});
  }
  network.run(seconds(12));  // refreshes of earlier sightings must not restore the hints
  EXPECT_TRUE(all_have_hint(network, network.device(3), false));
  for (const std::size_t i : {1, 3})
    record_prefill(network, i, 3);
  EXPECT_LT(network.run_until([&] { return all_have_hint(network, network.device(3), true); }, seconds(60)),
            seconds(40));
}

// Either only one side lists the restart, or each side notices a loss of its own. After the partition, no
// sighting from before the losses may be a hint.
TEST_P(CacheTiersOnNetwork, HasNoHintForADeviceThatLostItsCacheDuringAPartition) {
  for (const bool listed : {true, false}) {
    SimulatedNetwork network(options());
    network.run(seconds(3));
    std::vector<int> partitions(12, 0);
    for (std::size_t i = 1; i < 12; i += 2)
      partitions[i] = 1;  // one partition per site
    network.partition(partitions);
    for (const std::size_t i : {0, 1, 2, 3})
      record_prefill(network, i, 3);
    network.run(seconds(20));
    if (listed)
      network.restart_device(3, [](std::size_t i) { return i % 2 == 0; });
    else
      network.at(0).on_cache_lost(network.device(3), network.now()),
          network.at(1).on_cache_lost(network.device(3), network.now());
    network.run(seconds(3));
    if (!listed)
      for (const std::size_t i : {0, 1, 2, 3})
        record_prefill(network, i, 3, session + 1 + i % 2);
    network.run(seconds(12));
    network.heal();
    network.run(seconds(10));
    EXPECT_TRUE(all_have_hint(network, network.device(3), false)) << listed;
    network.run(seconds(15));
    EXPECT_TRUE(all_have_hint(network, network.device(3), false)) << listed;
    for (std::size_t i = 0; i < network.size() && !listed; ++i)
      EXPECT_FALSE(has_hint(network, i, network.device(3), session + 1) ||
                   has_hint(network, i, network.device(3), session + 2))
          << i;
  }
}

TEST_P(CacheTiersOnNetwork, RestartedRouterRecoversHintsInSecondsAndStoppedCollectorsLoseNone) {
  SimulatedNetwork network(options());
  network.run(seconds(3));
  for (Key key = 1; key <= 200; ++key)
    record_prefill(network, key % 12, key % 10, 1000 + key),
        record_prefill(network, (key + 2) % 12, key % 10, 1000 + key);
  network.run(seconds(25));
  const auto known_keys = [&](std::size_t i) {
    std::size_t all = 0;
    for (Key key = 1; key <= 200; ++key)
      all += !network.at(i).map()->cache_locations(1000 + key, 0).empty();
    return all;
  };
  ASSERT_GE(known_keys(4), 195u);
  network.stop(4);
  network.run(seconds(3));
  network.restart(4);
  EXPECT_EQ(known_keys(4), 0u);
  network.run(seconds(4));
  EXPECT_GE(known_keys(4), 100u);  // entries in lost datagrams arrive with the next refresh
  network.run(seconds(15));
  EXPECT_GE(known_keys(4), 190u);
  network.stop(0);
  network.stop(1);
  network.stop(2);
  network.run(seconds(1));
  EXPECT_GE(known_keys(6), 180u);
  record_prefill(network, 6, 1, 5000);
  network.run(seconds(15));
  EXPECT_TRUE(has_hint(network, 8, network.device(1), 5000));
}

TEST_P(CacheTiersOnNetwork, PopularSharedPrefixHasTheSameFewHoldersAtAllRouters) {
  auto custom_options = options();
  custom_options.routers = 24;
  custom_options.sites = 1;
  custom_options.devices = 40;
  SimulatedNetwork network(custom_options);
  for (int step = 0; step < 50; ++step) {
    for (std::size_t i = 0; i < network.size(); ++i)
      network.at(i).on_prefix_cached(network.device((i + static_cast<std::size_t>(step) * (i % 3)) % 40), 0,
                                     shared_prefix, 2000, 800, network.now());
    network.run(milliseconds(400));
  }
  network.run(seconds(15));
  std::set<std::string> holders;
  for (std::size_t i = 0; i < network.size(); ++i) {
    const auto locations = network.at(i).map()->cache_locations(0, shared_prefix);
    ASSERT_FALSE(locations.empty());
    EXPECT_LE(locations.size(), max_holders);
    for (const auto& one : locations) {
      holders.insert(one.node);
      EXPECT_EQ(one.tokens, 800);
    }
  }
  EXPECT_LE(holders.size(), max_holders + 1);  // one holder may be changing
}

// An authenticated router claims that every key is cached at one device. Each other router follows at most
// three of these hints before it distrusts the router, and one more if a collector withdraws a hint while it
// is followed. A node's count for a key removes the hint for that key at once.
TEST_P(CacheTiersOnNetwork, LyingRouterMisleadsEachOtherRouterAtMostFourTimes) {
  SimulatedNetwork network(options());
  network.run(seconds(3));
  for (Key key = 1; key <= 40; ++key)
    record_prefill(network, 2, 9, key, 1e6);  // router 2 lies
  network.run(seconds(20));
  std::size_t all = 0;
  for (std::size_t i = 4; i < 12; i += 2) {
    std::size_t misled = 0;
    for (Key key = 1; key <= 40; ++key) {
      const auto locations = network.at(i).map()->cache_locations(key, 0);
      if (locations.empty() || locations.front().confidence < 0.05)
        continue;
      ++misled;
      network.at(i).on_cache_hit(network.device(9), key, 0, 0, network.now());
      network.run(milliseconds(450));
      EXPECT_FALSE(has_hint(network, i, network.device(9), key));
    }
    EXPECT_LE(misled, 4u);
    all += misled;
  }
  EXPECT_GT(all, 0u);
  record_prefill(network, 0, 1, 7000);  // hints of other routers are still used
  network.run(seconds(15));
  EXPECT_TRUE(has_hint(network, 4, network.device(1), 7000));
}

TEST_P(CacheTiersOnNetwork, FalseLossReportsRarelyInvalidateAndNotAfterTheyAreDisproved) {
  SimulatedNetwork network(options());
  network.run(seconds(6));
  // Router 8 has its own sightings at devices 0 and 1. Router 2 lies: it reports a loss of every device again
  // and again.
  record_prefill(network, 8, 0, 500);
  record_prefill(network, 8, 1, 501);
  IdHasher hasher(4711);
  std::size_t invalidations = 0;
  Micros last{};
  for (std::uint16_t count = 1; count <= 600; ++count) {
    PayloadEncoder packer(PayloadKind::epochs, Tier::site, {});
    for (std::size_t d = 0; d < 10; ++d)
      packer.add(hasher.name(network.device(d).name), {10'000'000, std::uint64_t{count} << 32});
    network.send_forged(2, 8, packer.encode());
    network.run(milliseconds(100));
    const auto lost = network.at(8).map()->cache_lost_at(network.device(0));
    if (lost != last)
      ++invalidations, last = lost;
    if (count == 30) {  // node counts disprove two of the reported losses
      network.at(8).on_cache_hit(network.device(0), 500, 0, 8000, network.now());
      network.at(8).on_cache_hit(network.device(1), 501, 0, 8000, network.now());
    }
  }
  EXPECT_EQ(invalidations, 1u);
  EXPECT_GT(network.at(8).describe(network.now())["eras"]["voids_held_back"].get<int>(), 100);
}

TEST_P(CacheTiersOnNetwork, StaysWithinItsBoundsUnderAFloodOfKeys) {
  auto custom_options = options();
  custom_options.limits.device_keys = 64;
  custom_options.limits.site_keys = 256;
  custom_options.limits.region_keys = 128;
  custom_options.limits.vote_bytes_per_second = 4096;
  custom_options.limits.push_bytes_per_second = 8192;
  SimulatedNetwork network(custom_options);
  for (Key key = 1; key <= 6000; ++key) {
    record_prefill(network, key % 12, key % 10, key, 3000);
    if (key % 20 == 0)
      network.run(milliseconds(100));
  }
  for (std::size_t i = 0; i < network.size(); ++i) {
    const auto description = network.at(i).describe(network.now());
    EXPECT_LE(description["device"]["keys"], 64);
    for (const auto* tier : {"site", "region"})
      for (const auto* table : {"keys_kept", "keys_told", "keys_headed"})
        EXPECT_LE(description[tier][table], (tier[0] == 's' ? 256 : 128) * (table[5] == 'h' ? 1.25 : 1))
            << table;
    // Budgets of votes, of advertisements in two tiers and of cache epochs for 30 s, one second of burst and
    // an overdraft of one round.
    EXPECT_LE(network.bytes_out(i), 32u * (4096 + 2 * 8192 + 4096));
    EXPECT_TRUE(description["dropped"].empty()) << description["dropped"];
  }
}

TEST(CacheTiersReceive, DropsAndCountsUnreadablePayloadsAndThoseOfNonMembers) {
  NetworkOptions options;
  options.routers = 6;
  options.sites = 2;
  SimulatedNetwork network(options);
  network.run(seconds(1));
  PayloadEncoder rows(PayloadKind::entries, Tier::site, {});
  rows.add({IdHasher(4711).session(5),
            9,
            {{IdHasher(4711).name("d1"), {10'000'000, 0}, 500, 255, network.now(), 1, 1}}},
           network.now());
  network.send_forged(0, 2, "no payload");
  network.send_forged(0, 2, std::string(900, '\xff'));
  network.send_forged(1, 2, rows.encode());  // from a router of the other site
  network.run(seconds(1));
  const auto description = network.at(2).describe(network.now());
  EXPECT_EQ(description["dropped"]["unreadable"], 2);
  EXPECT_EQ(description["dropped"]["stranger"], 1);
  EXPECT_EQ(description["site"]["keys_told"], 0);
}

}  // namespace
}  // namespace lemonroute::tiers
