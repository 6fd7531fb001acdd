// Two regions never hold a right at the same true time, and none is stuck, in the world of rights_world.h.
#include <gtest/gtest.h>

#include <cstdlib>

#include "rights_world.h"

namespace lemonroute::pools {
namespace {

using rights::World;

TEST(Rights, NeverTwoRegionsAndNeverStuck) {
  const char* seeds = std::getenv("POOLS_SEEDS");
  const std::uint64_t most = seeds ? std::strtoull(seeds, nullptr, 10) : 400;
  std::uint64_t handed = 0;
  for (std::uint64_t seed = 1; seed <= most; ++seed) {
    World world(seed);
    ASSERT_EQ(world.run(Micros(30'000'000)), "") << "seed " << seed;
    handed += world.handed;
  }
  EXPECT_GT(handed, most);  // else nothing was put to the test
}

// The arithmetic of the terms: a right is over before any promise that it stands on, at the worst rates of
// both clocks.
TEST(Rights, TermsOutlast) {
  for (const double d : {0.0, 0.0001, 0.01, 0.1}) {
    const Terms terms{std::chrono::seconds(3), d, std::chrono::milliseconds(50)};
    const double right = static_cast<double>(terms.held().count()) / (1 - d);
    EXPECT_LT(right + 49'000, static_cast<double>(terms.promised().count()) / (1 + d));
    EXPECT_LT(right, static_cast<double>(terms.abstained().count()) / (1 + d));
  }
}

}  // namespace
}  // namespace lemonroute::pools
