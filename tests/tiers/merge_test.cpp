// Properties of epochs, vote sets, heavy hitters and payloads under random operations, each from a seed.
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <random>

#include "config/tiers.h"
#include "peers/extension.h"
#include "tiers/store/heavy_hitters.h"
#include "tiers/store/vote_table.h"
#include "tiers/wire/payload.h"

namespace lemonroute::tiers {
namespace {

using Random = std::mt19937_64;

CacheEpoch random_epoch(Random& random) {
  return {random() % 3, (random() % 3) | (random() % 3) << 16 | (random() % 2) << 48};
}

TEST(CacheEpoch, JoinIsASemilatticeAndALossYieldsALaterEpoch) {
  Random random(1);
  for (int i = 0; i < 20000; ++i) {
    const auto a = random_epoch(random), b = random_epoch(random), c = random_epoch(random);
    EXPECT_EQ(join(a, b), join(b, a));
    EXPECT_EQ(join(a, join(b, c)), join(join(a, b), c));
    EXPECT_EQ(join(a, a), a);
    EXPECT_TRUE(covers(after_loss(a, 2), a) && after_loss(a, 2) != a);
    // Two partitioned sites each notice a loss. The joined epoch invalidates the sightings of both.
    const auto met = join(after_loss(a, 0), after_loss(a, 1));
    EXPECT_TRUE(met != after_loss(a, 0) && met != after_loss(a, 1));
  }
}

VoteSet::Entry random_entry(Random& random) {
  const auto contributor = 1 + random() % 9;
  VoteSet::Entry entry{
      contributor * 7 % 10,
      contributor,
      {{random() % 2, random() % 4}, {}, static_cast<std::uint8_t>(random() % 3), Micros(random() % 50)}};
  // Only a lying contributor sends different votes with the same stamp; their contents decide the order.
  for (auto n = random() % 3; n > 0; --n)
    entry.vote.holders.push_back(
        {n, random_epoch(random), static_cast<std::uint32_t>(1 + random() % 3), 255, Micros(random() % 5)});
  return entry;
}

TEST(VoteSet, MergeIsIndependentOfOrderGroupingAndRepetition) {
  Random random(2);
  for (int round = 0; round < 3000; ++round) {
    std::vector<VoteSet::Entry> all;
    for (auto n = random() % 20; n > 0; --n)
      all.push_back(random_entry(random));
    VoteSet expected;
    for (const auto& entry : all)
      expected.put(entry);
    // Groups are merged in a random order, with some entries repeated and one group merged twice.
    std::vector<VoteSet> groups(1 + random() % 4);
    for (const auto& entry : all) {
      groups[random() % groups.size()].put(entry);
      if (random() % 3 == 0)
        groups[random() % groups.size()].put(entry);
    }
    std::shuffle(groups.begin(), groups.end(), random);
    VoteSet merged;
    for (const auto& group : groups)
      merged.merge(group);
    merged.merge(groups.front());
    ASSERT_TRUE(same_votes(expected, merged)) << "round " << round;
    EXPECT_LE(merged.entries().size(), VoteSet::max_votes);
  }
}

TEST(HeavyHitters, CountsEveryHeavyKeyWithinItsErrorBound) {
  Random random(3);
  HeavyHitters heavy_hitters(32);
  std::map<KeyId, double> truth;
  double all = 0;
  for (int i = 0; i < 20000; ++i) {
    const KeyId key = random() % 3 ? random() % 8 : 100 + random() % 5000;
    const double amount = 1 + static_cast<double>(random() % 5);
    heavy_hitters.add(key, amount);
    truth[key] += amount;
    all += amount;
  }
  EXPECT_EQ(heavy_hitters.size(), 32u);
  EXPECT_LE(heavy_hitters.error(), all / 32);
  for (const auto& [key, amount] : truth) {
    const auto count = heavy_hitters.count(key);
    if (amount > all / 32) {
      EXPECT_GE(count, amount) << key;
    }
    EXPECT_LE(count, amount + heavy_hitters.error() + 1e-6) << key;
  }
}

TEST(VoteTable, IsBoundedAndLimitsAContributorToAQuarterOfTheKeys) {
  const IdHasher hasher(5);
  VoteTable votes(hasher, 1024);
  Random random(4);
  const auto put = [&](KeyId key, NameId by, std::uint8_t weight, std::uint64_t number) {
    votes.put(key, by,
              Vote{{1, number}, {{1, {}, 100, 255, Micros(1)}}, weight, Micros(static_cast<long>(number))});
  };
  for (std::uint64_t i = 1; i <= 20000; ++i)
    put(random(), 666, 255, i);
  EXPECT_LE(votes.size(), 1024u / 4);
  EXPECT_GT(votes.counts().over_quota, 0u);
  for (std::uint64_t i = 1; i <= 20000; ++i)
    put(random(), 1 + i % 50, 10, i);
  EXPECT_LE(votes.size(), 1024u);
  std::size_t without_flooder = 0;
  votes.each([&](KeyId, const VoteSet& vote_set) { without_flooder += !vote_set.find(666); });
  EXPECT_GE(without_flooder, 1024u / 2);
  votes.expire(Micros(100000));
  EXPECT_EQ(votes.size(), 0u);
  put(1, 666, 1, 1);  // the quota of the contributor is free again
  EXPECT_EQ(votes.size(), 1u);
}

TEST(SelectHolders, IgnoresAPastEpochAndATokenCountThatOnlyOneContributorClaims) {
  const SelectionContext context{[](NameId, const CacheEpoch& epoch) { return epoch.start == 1; },
                                 [](NameId) { return 0.5; }, Micros(10), std::chrono::seconds(60)};
  const auto vote = [](NameId device, std::uint32_t tokens, std::uint64_t start = 1) {
    return Vote{{1, 1}, {{device, {start, 0}, tokens, 255, Micros(10)}}, 1, Micros(10)};
  };
  VoteSet vote_set;
  vote_set.put({1, 1, vote(7, 1000)});
  vote_set.put({2, 2, vote(7, 1100)});
  vote_set.put({3, 3, vote(8, 1 << 24, 0)});  // from a past epoch
  auto selected = select_holders(vote_set, {}, context);
  ASSERT_EQ(selected.size(), 1u);
  EXPECT_EQ(selected[0].tokens, 1000u);
  vote_set.put({4, 4, vote(7, 1 << 24)});
  EXPECT_EQ(select_holders(vote_set, {}, context)[0].tokens, 1100u);
}

TEST(Payload, DecodesWhatWasEncodedAndFitsADatagram) {
  Random random(6);
  for (int round = 0; round < 300; ++round) {
    const bool votes = random() % 2;
    PayloadEncoder packer(votes ? PayloadKind::votes : PayloadKind::entries, Tier::region,
                          {random() >> 16, random()});
    std::vector<CacheEntry> lines;
    while (true) {
      CacheEntry line{random(), static_cast<std::uint8_t>(random()), {}};
      for (std::uint64_t n = random() % (votes ? 3 : 4), first = random() % 30; n > 0; --n)
        line.holders.push_back({first + n,
                                {first + n, random() % 2 ? ~0ull : 0},
                                static_cast<std::uint32_t>(1 + random() % (1 << 24)),
                                static_cast<std::uint8_t>(random()),
                                std::chrono::seconds(1000 - static_cast<long>(random() % 500)),
                                votes ? 0 : random(),
                                static_cast<std::uint8_t>(votes ? 0 : 1 + random() % 4)});
      if (!packer.add(line, std::chrono::seconds(1000)))
        break;
      lines.push_back(line);
    }
    const auto bytes = packer.encode(random());
    ASSERT_LE(bytes.size(), peers::Outbox::max_payload_bytes);
    EXPECT_GE(bytes.size(), votes ? 700u : 600u);  // the size estimate leaves little room unused
    const char* why = "";
    const auto payload = decode_payload(bytes, std::chrono::seconds(1000), why);
    ASSERT_TRUE(payload) << why;
    ASSERT_EQ(payload->entries.size(), lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i) {
      EXPECT_EQ(payload->entries[i].key, lines[i].key);
      ASSERT_EQ(payload->entries[i].holders.size(), lines[i].holders.size());
      for (std::size_t h = 0; h < lines[i].holders.size(); ++h) {
        const auto &got = payload->entries[i].holders[h], &put = lines[i].holders[h];
        EXPECT_TRUE(got.device == put.device && got.tokens == put.tokens &&
                    got.contributor == put.contributor && got.vote_count == put.vote_count &&
                    got.confidence == put.confidence && got.seen_at == put.seen_at);
      }
    }
    // A corrupted or truncated payload is either decoded within the bounds or rejected.
    auto corrupted = bytes;
    for (int n = 0; n < 3; ++n)
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    if (const auto decoded = decode_payload(corrupted, std::chrono::seconds(1000), why)) {
      for (const auto& line : decoded->entries)
        EXPECT_LE(line.holders.size(), max_holders);
    }
    decode_payload(std::string_view(bytes).substr(0, random() % bytes.size()), std::chrono::seconds(1000),
                   why);
  }
}

TEST(TiersConfig, ReportsTheLineOfEachFault) {
  const auto read = [](const std::string& text, std::vector<config::Fault>& faults) {
    static toml::table table;
    table = toml::parse(text);
    config::Section file(table, "x.toml", "", faults);
    return config::read_tiers(file);
  };
  std::vector<config::Fault> none;
  EXPECT_FALSE(read("[log]\n", none));
  const auto set = read("[tiers]\nsite_keys = 8192\nfade = \"2m\"\n", none);
  ASSERT_TRUE(set);
  EXPECT_TRUE(none.empty());
  EXPECT_EQ(set->limits.site_keys, 8192u);
  EXPECT_EQ(set->limits.confidence_half_life, std::chrono::minutes(2));
  EXPECT_EQ(set->line, 1u);
  for (const std::string line :
       {"site_keys = 1", "device_keys = 1.5", "push_bytes = \"many\"", "fade = 60", "repeat = \"1s\"",
        "repeat = \"2m\"", "cross_least = -1", "colour = \"red\"", "fade = \"6s\""}) {
    std::vector<config::Fault> faults;
    read("[tiers]\n" + line + "\n", faults);
    ASSERT_EQ(faults.size(), 1u) << line;
    EXPECT_EQ(faults[0].line, 2u) << faults[0].text();
  }
}

}  // namespace
}  // namespace lemonroute::tiers
