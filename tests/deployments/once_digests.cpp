/// Prints a digest of each drawn schedule of the once property, from seed 1: once_digests [COUNT].
#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "deployments/once_play.h"

using namespace lemonroute;

int main(int argc, char** argv) {
  logging::set_level(logging::Level::error);
  const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3000;
  once::Seen seen;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    once::Play play(seed, seen);
    const std::string broken = play.run();
    std::cout << seed << ' ' << play.digest() << (broken.empty() ? "" : " broken") << '\n';
  }
  return 0;
}
