#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "peers/extension.h"
#include "pools/demand/demand_sum.h"
#include "pools/extension/planning.h"
#include "pools/wire/wire.h"

namespace lemonroute::pools {
namespace {

// Whatever one of n routers reports, the sum is at most 1 + influence / (n - 1) times the sum of the other
// reports and does not fall as the report grows. Similar reports of the others are counted in full.
TEST(Demand, InfluenceOfOneReportOnTheSumIsBounded) {
  for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937 rng(seed);
    const double influence = 2 + rng() % 4;
    const std::size_t n = 4 + rng() % 30;
    const bool alike = rng() % 2;
    std::vector<double> honest(n - 1);
    for (auto& one : honest)
      one = alike ? 100 + rng() % 20 : rng() % 3 == 0 ? 0 : (rng() % 1000) * (rng() % 10 == 0 ? 20.0 : 1.0);
    const double honest_sum = std::accumulate(honest.begin(), honest.end(), 0.0);
    double last_sum = alike ? honest_sum - 1e-6 : 0;
    for (const double report : {0.0, 1.0, 1e3, 1e9}) {
      auto all = honest;
      all.push_back(report);
      std::shuffle(all.begin(), all.end(), rng);
      const double sum = bounded_sum(all, influence);
      EXPECT_LE(sum, honest_sum * (1 + influence / static_cast<double>(n - 1)) + 1e-6) << seed;
      EXPECT_LE(sum, honest_sum + report + 1e-6);
      EXPECT_GE(sum, last_sum - 1e-6) << seed;
      last_sum = sum;
    }
  }
  EXPECT_EQ(bounded_sum({7}, 2), 7);
  EXPECT_EQ(bounded_sum({}, 2), 0);
}

TEST(Demand, ReportsExpireAndHalfOfTheRoutersMustReport) {
  using std::chrono::seconds;
  DemandSum sum(2);
  sum.on_report(0, "a", {5, 4, 0}, seconds(100));
  sum.on_report(0, "a", {4, 9, 0}, seconds(101));  // older than the last report
  sum.on_report(1, "b", {1, 7, 0}, seconds(101));
  EXPECT_EQ(sum.decode_nodes(0, 2, seconds(102)), 4);
  EXPECT_EQ(sum.decode_nodes(0, 3, seconds(102)), std::nullopt);
  EXPECT_EQ(sum.decode_nodes(0, 2, seconds(131)), std::nullopt);
}

TEST(Demand, CountsRejectedRequests) {
  LocalDemand local_demand;
  EXPECT_FALSE(local_demand.report(Micros(1)));  // an unknown demand is not reported as no demand
  local_demand.add({0.5, 0.5, 5, 5, 8}, Micros(1));
  EXPECT_NEAR(local_demand.report(Micros(2))->decode_nodes, 8, 1e-9);
  local_demand.add({0, 0, 0, 0, 8}, std::chrono::minutes(10));
  EXPECT_NEAR(local_demand.report(std::chrono::minutes(10))->decode_nodes, 0, 1e-9);
}

TEST(Demand, CorrectsTheCalendarWithinLimits) {
  Settings settings;
  settings.max_correction = 0.1;
  settings.target_fill = 0.5;
  EXPECT_EQ(region_target(settings, 0.4, std::nullopt, 100).wanted, 40);
  EXPECT_NEAR(region_target(settings, 0.4, 21, 100).wanted, 42, 1e-9);
  EXPECT_NEAR(region_target(settings, 0.4, 1000, 100).wanted, 50, 1e-9);
  EXPECT_NEAR(region_target(settings, 0.4, 0, 100).wanted, 30, 1e-9);
  EXPECT_NEAR(region_target(settings, 0.95, 1000, 100).wanted, 100, 1e-9);
}

// A message is read as it was written, in payloads within the size limit. A damaged payload is rejected, or
// is read with all fields within bounds.
TEST(Wire, RoundTripsSplitMessagesAndRejectsDamagedOnes) {
  std::mt19937_64 rng(3);
  const Micros now = std::chrono::hours(1000);
  for (int round = 0; round < 200; ++round) {
    wire::LeaseAnswer grant{rng(), rng() % 2 == 0, {}};
    for (std::size_t i = 0; i < 1 + rng() % 120; ++i) {
      const std::uint64_t moved = rng() % 2;
      grant.pools.push_back(
          {{std::string(1 + rng() % max_name_bytes, 'x'), static_cast<std::uint32_t>(rng() % 65536)},
           {{moved * rng() % 1000, static_cast<RegionId>(moved * rng() % 4), moved * rng()},
            static_cast<RegionId>(rng() % 4),
            Micros(0)},
           rng() % 2 == 0,
           rng() % 2 == 0});
      if (moved)
        grant.pools.back().ownership.granted_at = now - std::chrono::milliseconds(1 + rng() % 100000);
    }
    std::vector<wire::PoolEntry> got;
    for (auto payload : wire::write(grant, 9, now)) {
      ASSERT_LE(payload.size(), peers::Outbox::max_payload_bytes);
      const auto read = wire::read(payload, 9, 4, now);
      ASSERT_TRUE(read.message);
      const auto& one = std::get<wire::LeaseAnswer>(*read.message);
      EXPECT_EQ(one.nonce, grant.nonce);
      EXPECT_EQ(one.abstains, grant.abstains);
      got.insert(got.end(), one.pools.begin(), one.pools.end());
      EXPECT_EQ(wire::read(payload, 8, 4, now).fault, wire::ReadFault::settings_mismatch);
      for (int damage = 0; damage < 20; ++damage) {
        auto bad = payload;
        bad[rng() % bad.size()] = static_cast<char>(rng());
        if (rng() % 3 == 0)
          bad.resize(rng() % bad.size());
        const auto what = wire::read(bad, 9, 4, now);
        if (!what.message)
          continue;
        const auto* some = std::get_if<wire::LeaseAnswer>(&*what.message);
        if (!some)
          continue;
        for (const auto& entry : some->pools)
          ASSERT_TRUE(entry.ownership.owner < 4 && entry.pool.site.size() <= max_name_bytes);
      }
    }
    ASSERT_EQ(got.size(), grant.pools.size());
    for (std::size_t i = 0; i < got.size(); ++i)
      ASSERT_TRUE(got[i].pool == grant.pools[i].pool &&
                  got[i].ownership.ballot == grant.pools[i].ownership.ballot &&
                  got[i].ownership.owner == grant.pools[i].ownership.owner &&
                  got[i].ownership.granted_at == grant.pools[i].ownership.granted_at &&
                  got[i].granted == grant.pools[i].granted &&
                  got[i].granted_to_owner == grant.pools[i].granted_to_owner);
  }
}

}  // namespace
}  // namespace lemonroute::pools
