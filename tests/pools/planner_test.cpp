#include "pools/planner/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace lemonroute::pools::planner {
namespace {

double decode_nodes_of(const Inputs& in, const std::string& region) {
  double sum = 0;
  for (const auto& pool : in.pools)
    if (pool.owner == region && !in.lost_sites.contains(pool.name.site))
      sum += pool.decode_nodes;
  return sum;
}
double shortage(const Inputs& in) {
  double sum = 0;
  for (const auto& region : in.regions)
    sum += std::max(0.0, region.wanted - decode_nodes_of(in, region.name));
  return sum;
}
void apply(Inputs& in, const Plan& plan, bool migrating = false) {
  for (const auto& move : plan.migrations)
    for (auto& pool : in.pools)
      if (pool.name == move.pool)
        pool.owner = move.to, pool.migrating = migrating;
}

Inputs random_inputs(std::mt19937& rng) {
  const auto random_up_to = [&](int n) { return static_cast<int>(rng() % (n + 1)); };
  Inputs in;
  in.settings = {0.5 + random_up_to(8), static_cast<std::size_t>(1 + random_up_to(3)),
                 random_up_to(4) * 0.25};
  const int regions = 2 + random_up_to(2);
  double all = 0;
  for (int r = 0; r < regions; ++r) {
    Region region{"r" + std::to_string(r), 0, 0};
    for (int s = 0; s < 1 + random_up_to(2); ++s)
      for (int c = 0; c < 1 + random_up_to(4); ++c) {
        Pool pool{{region.name + "s" + std::to_string(s), static_cast<std::uint32_t>(c)},
                  region.name,
                  region.name,
                  1.0 + random_up_to(7),
                  c == 0 && s == 0 ? "reserve" : "",
                  false};
        if (!pool.fixed_reason.empty())
          region.reserve += pool.decode_nodes;
        else if (random_up_to(3) == 0)
          pool.owner = "r" + std::to_string(random_up_to(regions - 1));
        all += pool.decode_nodes;
        in.pools.push_back(pool);
      }
    in.regions.push_back(region);
  }
  for (auto& region : in.regions)
    region.wanted = all * random_up_to(100) / 100.0 / regions * 1.6;
  if (random_up_to(3) == 0)
    in.lost_sites.insert(in.pools[rng() % in.pools.size()].name.site);
  for (const auto& region : in.regions)
    for (const auto& pool : in.pools)
      if (random_up_to(2) == 0)
        in.distance[{region.name, pool.name.site}] = random_up_to(3);
  return in;
}

// Plans of random fleets are carried out until no migration is left. Each plan keeps the reserves, the limit
// of concurrent migrations and the headroom, does not depend on the order of inputs, and explains each
// shortage.
TEST(Planner, PlansKeepLimitsReachAnEndAndDoNotDependOnInputOrder) {
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937 rng(seed);
    Inputs in = random_inputs(rng);
    if (rng() % 2)
      for (auto& pool : in.pools)
        pool.migrating = pool.fixed_reason.empty() && rng() % 8 == 0;
    for (int round = 0;; ++round) {
      ASSERT_LT(round, 200) << "migrations do not end, seed " << seed;
      const Plan result = plan(in);
      const auto migrating =
          std::count_if(in.pools.begin(), in.pools.end(), [](auto& p) { return p.migrating; });
      ASSERT_LE(result.migrations.size(),
                std::max<std::size_t>(in.settings.max_concurrent_migrations, migrating) - migrating)
          << seed;

      Inputs shuffled = in;
      std::shuffle(shuffled.pools.begin(), shuffled.pools.end(), rng);
      std::shuffle(shuffled.regions.begin(), shuffled.regions.end(), rng);
      const Plan shuffled_result = plan(shuffled);
      ASSERT_EQ(result.migrations.size(), shuffled_result.migrations.size());
      for (std::size_t i = 0; i < result.migrations.size(); ++i)
        ASSERT_TRUE(result.migrations[i].pool == shuffled_result.migrations[i].pool &&
                    result.migrations[i].to == shuffled_result.migrations[i].to &&
                    result.migrations[i].why == shuffled_result.migrations[i].why)
            << seed;
      ASSERT_EQ(result.shortages.size(), shuffled_result.shortages.size());
      for (std::size_t i = 0; i < result.shortages.size(); ++i)
        ASSERT_EQ(result.shortages[i].text, shuffled_result.shortages[i].text);

      const double before = shortage(in);
      for (const auto& move : result.migrations) {
        const auto pool =
            std::find_if(in.pools.begin(), in.pools.end(), [&](auto& p) { return p.name == move.pool; });
        ASSERT_FALSE(!pool->fixed_reason.empty() || pool->migrating ||
                     in.lost_sites.contains(pool->name.site))
            << seed;
        ASSERT_EQ(pool->owner, move.from);
        const double lender = decode_nodes_of(in, move.from);
        apply(in, {{move}, {}}, true);
        const auto region =
            std::find_if(in.regions.begin(), in.regions.end(), [&](auto& r) { return r.name == move.from; });
        ASSERT_GE(decode_nodes_of(in, move.from), region->reserve) << "below the reserve, seed " << seed;
        std::map<std::string, double> sites;
        for (const auto& p : in.pools)
          if (p.owner == move.from && !in.lost_sites.contains(p.name.site))
            sites[p.name.site] += p.decode_nodes;
        double largest = 0;
        for (const auto& [site, writers] : sites)
          largest = std::max(largest, writers);
        std::set<std::string> home_sites;
        for (const auto& p : in.pools)
          if (p.home == move.from && !in.lost_sites.contains(p.name.site))
            home_sites.insert(p.name.site);
        if (home_sites.size() > 1) {
          ASSERT_GE(decode_nodes_of(in, move.from) - largest, in.settings.headroom * region->wanted - 1e-9)
              << "no room for the loss of a site, seed " << seed << " lender had " << lender;
        }
      }
      ASSERT_LE(shortage(in), before + 1e-9);

      // After this plan, exactly the regions that are short by more than the hysteresis have an explanation.
      for (const auto& region : in.regions) {
        const bool is_short = region.wanted - decode_nodes_of(in, region.name) > in.settings.hysteresis;
        const auto named = std::count_if(result.shortages.begin(), result.shortages.end(),
                                         [&](auto& b) { return b.region == region.name; });
        ASSERT_EQ(named, is_short ? 1 : 0) << seed;
      }
      if (result.migrations.empty() && migrating == 0) {
        for (const auto& shortage : result.shortages)
          ASSERT_NE(shortage.constraint, "moving at once") << seed;
        break;
      }
      for (auto& pool : in.pools)
        pool.migrating = false;
    }
  }
}

// The demand is constant but for noise within half of the hysteresis. No allocation of the pools may occur
// twice.
TEST(Planner, NoAllocationRecursWithNoiseBelowHalfOfTheHysteresis) {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    std::mt19937 rng(seed);
    Inputs in = random_inputs(rng);
    const auto flat = in.regions;
    std::uniform_real_distribution<double> noise(-0.49 * in.settings.hysteresis,
                                                 0.49 * in.settings.hysteresis);
    std::set<std::vector<std::string>> seen;
    const auto owners = [&in] {
      std::vector<std::string> all;
      for (const auto& pool : in.pools)
        all.push_back(pool.owner);
      return all;
    };
    int last = 0;
    seen.insert(owners());
    for (int round = 0; round < 300; ++round) {
      for (std::size_t r = 0; r < flat.size(); ++r)
        in.regions[r].wanted = std::max(0.0, flat[r].wanted + noise(rng));
      const Plan result = plan(in);
      for (const auto& move : result.migrations) {
        apply(in, {{move}, {}});
        ASSERT_TRUE(seen.insert(owners()).second)
            << "an allocation occurs again, seed " << seed << " round " << round;
        last = round;
      }
    }
    ASSERT_LT(last, 299) << seed;
  }
}

TEST(Planner, BreaksTiesByNameAndExplainsShortages) {
  Inputs in;
  in.settings = {1, 4, 0};
  in.regions = {{"n", 8, 0}, {"s", 16, 0}};
  for (std::uint32_t c : {3, 1, 2})
    in.pools.push_back({{"n1", c}, "n", "n", 4, "", false});
  for (std::uint32_t c : {1, 2})
    in.pools.push_back({{"s1", c}, "s", "s", 4, "", false});
  const Plan result = plan(in);
  ASSERT_EQ(result.migrations.size(), 1u);
  EXPECT_EQ(result.migrations[0].pool.text(), "n1/1");
  EXPECT_EQ(result.migrations[0].why, "s is short of 8.0 writers of 16.0");
  ASSERT_EQ(result.shortages.size(), 1u);
  EXPECT_EQ(result.shortages[0].text,
            "s is short of 4.0 writers: writers in all, all regions want 24.0 of 20.0");
  const auto constraint_of = [](Inputs in) { return plan(in).shortages.at(0).constraint; };
  in.regions[0].wanted = 2;
  in.settings.max_concurrent_migrations = 1;
  EXPECT_EQ(constraint_of(in), "moving at once");
  for (auto& pool : in.pools)
    pool.fixed_reason = "reserve";
  in.settings.max_concurrent_migrations = 4;
  EXPECT_EQ(constraint_of(in), "reserve");
  for (auto& pool : in.pools)
    pool.fixed_reason.clear();
  in.regions[1].accepts_pools = false;
  EXPECT_EQ(constraint_of(in), "nobody there answers");
  in.regions[1].accepts_pools = true;
  in.lost_sites = {"s1"};
  EXPECT_EQ(constraint_of(in), "site lost");
}

}  // namespace
}  // namespace lemonroute::pools::planner
