// Safety and recovery of leases in the simulation of lease_world.h, and the arithmetic of the lease terms.
#include <gtest/gtest.h>

#include <cstdlib>

#include "lease_world.h"

namespace lemonroute::pools {
namespace {

using leases::World;

TEST(Leases, AreHeldByOneRegionAndRecoverAfterFaults) {
  const char* seeds = std::getenv("POOLS_SEEDS");
  const std::uint64_t last_seed = seeds ? std::strtoull(seeds, nullptr, 10) : 400;
  std::uint64_t handovers = 0;
  for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
    World world(seed);
    ASSERT_EQ(world.run(Micros(30'000'000)), "") << "seed " << seed;
    handovers += world.handovers;
  }
  EXPECT_GT(handovers, last_seed);  // without handovers, the simulation would test nothing
}

// A lease ends before any grant that it rests on, at the largest errors of both clocks.
TEST(Leases, EndBeforeTheGrantsTheyRestOn) {
  for (const double d : {0.0, 0.0001, 0.01, 0.1}) {
    const LeaseTerms terms{std::chrono::seconds(3), d, std::chrono::milliseconds(50)};
    const double true_lease = static_cast<double>(terms.lease_duration().count()) / (1 - d);
    EXPECT_LT(true_lease + 49'000, static_cast<double>(terms.grant_duration().count()) / (1 + d));
    EXPECT_LT(true_lease, static_cast<double>(terms.abstention().count()) / (1 + d));
  }
}

}  // namespace
}  // namespace lemonroute::pools
