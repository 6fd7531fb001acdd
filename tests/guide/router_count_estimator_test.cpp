#include "guide/router_count_estimator.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

peers::View view(std::uint32_t present, std::uint32_t known, bool minority = false) {
  peers::View view;
  view.period = seconds(1);
  view.known_count = known;
  view.members.resize(std::max(present, known));
  for (std::size_t i = present; i < view.members.size(); ++i)
    view.members[i].standing = peers::Standing::gone;
  if (minority)
    view.minority_since = Micros(1);
  return view;
}

TEST(RouterCountEstimator, rises_at_once_and_falls_after_30_periods_without_a_larger_view) {
  RouterCountEstimator estimator({1, 1, 1000, 30});
  struct Step {
    int at;
    std::uint32_t present, known;
    bool minority;
    std::uint32_t expected;
  };
  for (const auto& step : {
           Step{0, 1, 1, false, 1},
           Step{1, 10, 10, false, 10},
           Step{2, 24, 24, false, 24},
           Step{10, 20, 24, false, 24},  // 24 were present until now
           Step{39, 20, 24, false, 24},
           Step{40, 20, 24, false, 20},
           Step{41, 24, 24, false, 24},
           Step{50, 3, 24, true, 24},
           Step{5000, 3, 24, true, 24},  // in a minority the estimate never falls
           Step{5001, 22, 24, false, 24},
           Step{5031, 22, 24, false, 22},
           Step{5032, 12, 24, false, 22},  // exactly half is not a majority
           Step{6000, 12, 24, false, 22},
           Step{6001, 13, 24, false, 22},
           Step{6031, 13, 24, false, 13},
           Step{6032, 9, 13, false, 13},  // after routers have left it falls only after 30 periods again
           Step{6061, 9, 13, false, 13},
           Step{6062, 9, 13, false, 9},
       })
    EXPECT_EQ(estimator.update(seconds(step.at), view(step.present, step.known, step.minority)),
              step.expected)
        << "at " << step.at;
}

TEST(RouterCountEstimator, holds_the_configured_count_without_a_majority_and_stays_within_bounds) {
  RouterCountEstimator half({100, 1, 1000, 30});
  for (int at = 0; at < 500; ++at)
    EXPECT_EQ(half.update(seconds(at), view(at < 250 ? 1 : 50, 50)), 100u);
  RouterCountEstimator majority({100, 1, 1000, 30});
  for (int at = 0; at < 500; ++at)
    EXPECT_EQ(majority.update(seconds(at), view(51, 51)), at < 30 ? 100u : 51u);
  RouterCountEstimator bounded({4, 3, 8, 30});
  EXPECT_EQ(bounded.update(seconds(0), view(20, 20)), 8u);
  EXPECT_EQ(bounded.update(seconds(50), view(1, 1)), 8u);
  EXPECT_EQ(RouterCountEstimator({1, 3, 8, 30}).update(seconds(0), view(1, 1)), 3u);
}

// The load that all routers together send to a node in slow start (rule 4 of the platform): each sends
// 1/estimate of at most 0.6 of what the node bears. A sum above 1.5 could overload the node; with a sum below
// 1 it warms up slower than it could.
struct SimulatedFleet {
  static constexpr std::uint32_t routers = 100;
  explicit SimulatedFleet(std::uint32_t configured)
      : estimators(routers, RouterCountEstimator({configured, 1, 100'000, 30})) {}
  // Updates all routers each second. Router i sees only the routers of its own part of the fleet, part_of[i];
  // -1: it doesn't run.
  void run(int from, int to, const std::vector<int>& part_of, std::uint32_t known) {
    std::map<int, std::uint32_t> size;
    for (std::uint32_t i = 0; i < routers; ++i)
      if (part_of[i] >= 0)
        ++size[part_of[i]];
    std::map<int, peers::View> views;
    for (const auto& [part, count] : size)
      views[part] = view(count, known, 2 * count < known);
    for (int at = from; at <= to; ++at) {
      sum = 0;
      for (std::uint32_t i = 0; i < routers; ++i)
        if (part_of[i] >= 0)
          sum += 1.0 / estimators[i].update(seconds(at), views[part_of[i]]);
      max_sum = std::max(max_sum, sum);
      min_sum = std::min(min_sum, sum);
    }
  }
  std::vector<RouterCountEstimator> estimators;
  double sum = 0, max_sum = 0, min_sum = 1e9;
};

TEST(RouterCountEstimator, slow_start_load_of_all_routers_stays_below_the_limit_in_any_partition) {
  std::mt19937_64 random(5);
  for (const std::uint32_t configured : {1u, 30u, 100u, 300u})
    for (int parts = 1; parts <= 5; ++parts) {
      SimulatedFleet fleet(configured);
      const std::vector<int> unsplit(SimulatedFleet::routers, 0);
      fleet.run(0, 60, unsplit, SimulatedFleet::routers);
      // Once each router sees all others, the load is that of the right count; only a configured count of
      // more than twice the routers remains in force.
      EXPECT_DOUBLE_EQ(fleet.sum, configured > 2 * SimulatedFleet::routers
                                      ? SimulatedFleet::routers / double(configured)
                                      : 1.0)
          << configured;
      fleet.max_sum = 0;
      std::vector<int> split(SimulatedFleet::routers);
      for (auto& part : split)
        part = static_cast<int>(random() % parts * (random() % 3 > 0));
      fleet.run(61, 400, split, SimulatedFleet::routers);
      EXPECT_LT(fleet.max_sum, 1.5) << configured << " in " << parts;
      fleet.run(401, 500, unsplit, SimulatedFleet::routers);
      EXPECT_LE(fleet.sum, 1.0 + 1e-9);
    }
}

TEST(RouterCountEstimator, corrects_a_configured_count_that_is_too_low_or_too_high) {
  struct Case {
    const char* description;
    std::uint32_t configured;
    int killed;                   // of the 100 routers
    double sum_bound, final_sum;  // bound of the sum at any time; sum 100 s after the kill
  };
  for (const auto& c : {
           Case{"the configured count is right and no router is killed", 100, 0, 1, 1},
           Case{"the configured count is too low: a fixed count would send 100/20 = 5 times the load", 20, 0,
                1, 1},
           Case{"the configured count is too high: a fixed count would warm nodes up at 100/180 of the speed",
                180, 0, 1, 1},
           Case{"a third is killed: a fixed count would stay at 0.67", 100, 33, 1, 1},
           Case{"most are killed: the same as a fixed count", 100, 60, 1, 0.4},
       }) {
    SimulatedFleet fleet(c.configured);
    std::vector<int> part_of(SimulatedFleet::routers, 0);
    fleet.run(0, 60, part_of, SimulatedFleet::routers);
    for (int i = 0; i < c.killed; ++i)
      part_of[static_cast<std::size_t>(i)] = -1;
    fleet.run(61, 161, part_of, SimulatedFleet::routers);
    EXPECT_LE(fleet.max_sum, c.sum_bound + 1e-9) << c.description;
    EXPECT_NEAR(fleet.sum, c.final_sum, 1e-9) << c.description;
  }
}

TEST(RouterCountEstimator, stays_constant_while_a_release_restarts_each_router_in_turn) {
  RouterCountEstimator estimator({24, 1, 1000, 30});
  std::uint32_t least = 1000, most = 0;
  for (int at = 0; at < 600; ++at) {
    const auto estimate = estimator.update(seconds(at), view(at % 20 < 5 ? 23 : 24, 24));
    least = std::min(least, estimate);
    most = std::max(most, estimate);
  }
  EXPECT_EQ(least, 24u);
  EXPECT_EQ(most, 24u);
}

}  // namespace
}  // namespace lemonroute::guide
