#include "pools/planner/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace lemonroute::pools::planner {
namespace {

double writers_of(const Inputs& in, const std::string& region) {
  double sum = 0;
  for (const auto& pool : in.pools)
    if (pool.owner == region && !in.lost.contains(pool.name.site))
      sum += pool.writers;
  return sum;
}
double shortage(const Inputs& in) {
  double sum = 0;
  for (const auto& region : in.regions)
    sum += std::max(0.0, region.wanted - writers_of(in, region.name));
  return sum;
}
void apply(Inputs& in, const Plan& plan, bool moving = false) {
  for (const auto& move : plan.moves)
    for (auto& pool : in.pools)
      if (pool.name == move.pool)
        pool.owner = move.to, pool.moving = moving;
}

Inputs drawn(std::mt19937& rng) {
  const auto upto = [&](int n) { return static_cast<int>(rng() % (n + 1)); };
  Inputs in;
  in.settings = {0.5 + upto(8), static_cast<std::size_t>(1 + upto(3)), upto(4) * 0.25};
  const int regions = 2 + upto(2);
  double all = 0;
  for (int r = 0; r < regions; ++r) {
    Region region{"r" + std::to_string(r), 0, 0};
    for (int s = 0; s < 1 + upto(2); ++s)
      for (int c = 0; c < 1 + upto(4); ++c) {
        Pool pool{{region.name + "s" + std::to_string(s), static_cast<std::uint32_t>(c)},
                  region.name,
                  region.name,
                  1.0 + upto(7),
                  c == 0 && s == 0 ? "reserve" : "",
                  false};
        if (!pool.fixed.empty())
          region.reserve += pool.writers;
        else if (upto(3) == 0)
          pool.owner = "r" + std::to_string(upto(regions - 1));
        all += pool.writers;
        in.pools.push_back(pool);
      }
    in.regions.push_back(region);
  }
  for (auto& region : in.regions)
    region.wanted = all * upto(100) / 100.0 / regions * 1.6;
  if (upto(3) == 0)
    in.lost.insert(in.pools[rng() % in.pools.size()].name.site);
  for (const auto& region : in.regions)
    for (const auto& pool : in.pools)
      if (upto(2) == 0)
        in.distance[{region.name, pool.name.site}] = upto(3);
  return in;
}

// Every plan of many drawn fleets, brought to its end: reserves, the cap, room, order of inputs, and blame.
TEST(Planner, Properties) {
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937 rng(seed);
    Inputs in = drawn(rng);
    if (rng() % 2)
      for (auto& pool : in.pools)
        pool.moving = pool.fixed.empty() && rng() % 8 == 0;
    for (int round = 0;; ++round) {
      ASSERT_LT(round, 200) << "moves do not end, seed " << seed;
      const Plan made = plan(in);
      const auto moving = std::count_if(in.pools.begin(), in.pools.end(), [](auto& p) { return p.moving; });
      ASSERT_LE(made.moves.size(), std::max<std::size_t>(in.settings.moving_at_once, moving) - moving)
          << seed;

      Inputs shuffled = in;
      std::shuffle(shuffled.pools.begin(), shuffled.pools.end(), rng);
      std::shuffle(shuffled.regions.begin(), shuffled.regions.end(), rng);
      const Plan again = plan(shuffled);
      ASSERT_EQ(made.moves.size(), again.moves.size());
      for (std::size_t i = 0; i < made.moves.size(); ++i)
        ASSERT_TRUE(made.moves[i].pool == again.moves[i].pool && made.moves[i].to == again.moves[i].to &&
                    made.moves[i].why == again.moves[i].why)
            << seed;
      ASSERT_EQ(made.blames.size(), again.blames.size());
      for (std::size_t i = 0; i < made.blames.size(); ++i)
        ASSERT_EQ(made.blames[i].text, again.blames[i].text);

      const double before = shortage(in);
      for (const auto& move : made.moves) {
        const auto pool =
            std::find_if(in.pools.begin(), in.pools.end(), [&](auto& p) { return p.name == move.pool; });
        ASSERT_FALSE(!pool->fixed.empty() || pool->moving || in.lost.contains(pool->name.site)) << seed;
        ASSERT_EQ(pool->owner, move.from);
        const double lender = writers_of(in, move.from);
        apply(in, {{move}, {}}, true);
        const auto region =
            std::find_if(in.regions.begin(), in.regions.end(), [&](auto& r) { return r.name == move.from; });
        ASSERT_GE(writers_of(in, move.from), region->reserve) << "below the reserve, seed " << seed;
        std::map<std::string, double> sites;
        for (const auto& p : in.pools)
          if (p.owner == move.from && !in.lost.contains(p.name.site))
            sites[p.name.site] += p.writers;
        double largest = 0;
        for (const auto& [site, writers] : sites)
          largest = std::max(largest, writers);
        std::set<std::string> home_sites;
        for (const auto& p : in.pools)
          if (p.home == move.from && !in.lost.contains(p.name.site))
            home_sites.insert(p.name.site);
        if (home_sites.size() > 1) {
          ASSERT_GE(writers_of(in, move.from) - largest, in.settings.room * region->wanted - 1e-9)
              << "no room for the loss of a site, seed " << seed << " lender had " << lender;
        }
      }
      ASSERT_LE(shortage(in), before + 1e-9);

      // A region has a line of blame exactly if it is short of more than the hysteresis, with this plan done.
      for (const auto& region : in.regions) {
        const bool is_short = region.wanted - writers_of(in, region.name) > in.settings.hysteresis;
        const auto named = std::count_if(made.blames.begin(), made.blames.end(),
                                         [&](auto& b) { return b.region == region.name; });
        ASSERT_EQ(named, is_short ? 1 : 0) << seed;
      }
      if (made.moves.empty() && moving == 0) {
        for (const auto& blame : made.blames)
          ASSERT_NE(blame.constraint, "moving at once") << seed;
        break;
      }
      for (auto& pool : in.pools)
        pool.moving = false;
    }
  }
}

// Noise within half of the hysteresis around a flat demand: after the first way there, no pool is where it
// was before.
TEST(Planner, FlatDemandDoesNotSwing) {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    std::mt19937 rng(seed);
    Inputs in = drawn(rng);
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
      const Plan made = plan(in);
      for (const auto& move : made.moves) {
        apply(in, {{move}, {}});
        ASSERT_TRUE(seen.insert(owners()).second) << "back where it was, seed " << seed << " round " << round;
        last = round;
      }
    }
    ASSERT_LT(last, 299) << seed;
  }
}

TEST(Planner, TiesAndBlame) {
  Inputs in;
  in.settings = {1, 4, 0};
  in.regions = {{"n", 8, 0}, {"s", 16, 0}};
  for (std::uint32_t c : {3, 1, 2})
    in.pools.push_back({{"n1", c}, "n", "n", 4, "", false});
  for (std::uint32_t c : {1, 2})
    in.pools.push_back({{"s1", c}, "s", "s", 4, "", false});
  const Plan made = plan(in);
  ASSERT_EQ(made.moves.size(), 1u);
  EXPECT_EQ(made.moves[0].pool.text(), "n1/1");
  EXPECT_EQ(made.moves[0].why, "s is short of 8.0 writers of 16.0");
  ASSERT_EQ(made.blames.size(), 1u);
  EXPECT_EQ(made.blames[0].text, "s is short of 4.0 writers: writers in all, all regions want 24.0 of 20.0");
  const auto blamed = [](Inputs in) { return plan(in).blames.at(0).constraint; };
  in.regions[0].wanted = 2;
  in.settings.moving_at_once = 1;
  EXPECT_EQ(blamed(in), "moving at once");
  for (auto& pool : in.pools)
    pool.fixed = "reserve";
  in.settings.moving_at_once = 4;
  EXPECT_EQ(blamed(in), "reserve");
  for (auto& pool : in.pools)
    pool.fixed.clear();
  in.regions[1].takes = false;
  EXPECT_EQ(blamed(in), "nobody there answers");
  in.regions[1].takes = true;
  in.lost = {"s1"};
  EXPECT_EQ(blamed(in), "site lost");
}

}  // namespace
}  // namespace lemonroute::pools::planner
