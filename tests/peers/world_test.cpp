// Membership from end to end, on the real decisions, in the world.
#include "world.h"

#include <gtest/gtest.h>

namespace lemonroute::peers {
namespace {

TEST(World, routers_find_each_other_by_one_seed_and_see_one_that_ends) {
  for (const std::size_t count : {2u, 3u, 24u, 100u}) {
    World world({.seed = count, .seeds = 1});
    world.add_many(count, 3);
    world.start_all();
    std::string why;
    const auto joined = world.run_until([&] { return world.one_view(&why); }, 60);
    ASSERT_TRUE(joined) << count << ": " << why;
    world.run_periods(10);
    EXPECT_EQ(world.false_gone(), 0u);
    world.kill(1);
    const auto seen = world.run_until([&] { return world.one_view(&why); }, 60);
    ASSERT_TRUE(seen) << count << ": " << why;
  }
}

}  // namespace
}  // namespace lemonroute::peers
