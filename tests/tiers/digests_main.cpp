/// Prints a digest of what routers say of kept state on nets drawn from seed 1 on: tiers_digests [COUNT].
#include <cstdlib>
#include <iostream>

#include "net.h"

using namespace lemonroute;
using namespace lemonroute::tiers;

namespace {

/// Routers in two sites of one region, on a net that loses and repeats.
NetOptions options(std::uint64_t seed) {
  NetOptions options;
  options.routers = 8;
  options.sites = 2;
  options.lose = 0.1 * static_cast<double>(seed % 4);
  options.repeat = 0.2;
  options.seed = seed;
  return options;
}

/// Sessions are seen and lost, nodes and routers restart, the net is cut and heals.
Digest play(std::uint64_t seed) {
  Net net(options(seed));
  std::mt19937_64 random(seed);
  Digest digest;
  for (int step = 0; step < 40; ++step) {
    const auto router = random() % net.size(), device = random() % 10;
    const Key session = 1 + random() % 6;
    net.run(Micros(static_cast<Micros::rep>(random() % 3'000'000)));
    const auto kind = random() % 12;
    if (kind == 0)
      net.at(router).on_cache_lost(net.device(device), net.now());
    else if (kind == 1)
      net.restart_device(device, [seed](std::size_t at) { return (at + seed) % 2 == 0; });
    else if (kind == 2)
      net.restart(router);
    else if (kind == 3)
      net.cut({0, 1, 0, 1, 0, 1, 0, 1});
    else if (kind == 4)
      net.heal();
    else
      net.at(router).on_prefix_cached(net.device(device), session, 7, 8000, 500, net.now());
    for (std::size_t at = 0; at < net.size(); ++at)
      for (const auto& hint : net.at(at).map()->cache_locations(session, 7))
        digest.add(at, hint.node, hint.tokens, hint.confidence);
  }
  digest.add(net.digest().value());
  return digest;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 24;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    std::cout << seed << ' ' << play(seed) << '\n';
  return 0;
}
