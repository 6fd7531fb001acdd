/// Prints a digest of each drawn schedule of faults, from seed 1: held_digests [COUNT].
#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "held/world.h"

using namespace lemonroute;

int main(int argc, char** argv) {
  logging::set_level(logging::Level::error);
  const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 600;
  held::Seen seen;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    const held::Schedule schedule = held::draw_schedule(seed);
    held::World world(schedule, seen);
    const std::string broken = world.run();
    std::cout << seed << ' ' << world.digest() << (broken.empty() ? "" : " broken") << '\n';
  }
  return 0;
}
