/// Prints a digest of the simulation of each random fault schedule, from seed 1: held_digests [COUNT].
#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "held/fleet_simulation.h"

using namespace lemonroute;

int main(int argc, char** argv) {
  logging::set_level(logging::Level::error);
  const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 600;
  held_state::Coverage coverage;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    const held_state::Schedule schedule = held_state::random_schedule(seed);
    held_state::FleetSimulation simulation(schedule, coverage);
    const std::string violation = simulation.run();
    std::cout << seed << ' ' << simulation.digest() << (violation.empty() ? "" : " broken") << '\n';
  }
  return 0;
}
