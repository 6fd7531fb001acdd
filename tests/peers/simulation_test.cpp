// Membership from end to end, in the simulation.
#include "simulation.h"

#include <gtest/gtest.h>

namespace lemonroute::peers {
namespace {

TEST(Simulation, routers_join_through_one_seed_and_notice_a_killed_member) {
  for (const std::size_t count : {2u, 3u, 24u, 100u}) {
    Simulation simulation({.seed = count, .seed_members = 1});
    simulation.add_many(count, 3);
    simulation.start_all();
    std::string why;
    const auto joined = simulation.run_until([&] { return simulation.converged(&why); }, 60);
    ASSERT_TRUE(joined) << count << ": " << why;
    simulation.run_periods(10);
    EXPECT_EQ(simulation.count_false_gone(), 0u);
    simulation.kill(1);
    const auto converged = simulation.run_until([&] { return simulation.converged(&why); }, 60);
    ASSERT_TRUE(converged) << count << ": " << why;
  }
}

}  // namespace
}  // namespace lemonroute::peers
