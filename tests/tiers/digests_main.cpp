/// Prints a digest of the cache-tier payloads and hints for each seed from 1 on: tiers_digests [COUNT].
#include <cstdlib>
#include <iostream>

#include "simulated_network.h"

using namespace lemonroute;
using namespace lemonroute::tiers;

namespace {

/// Routers in two sites of one region, on a network that loses and duplicates datagrams.
NetworkOptions options(std::uint64_t seed) {
  NetworkOptions options;
  options.routers = 8;
  options.sites = 2;
  options.loss_rate = 0.1 * static_cast<double>(seed % 4);
  options.duplicate_rate = 0.2;
  options.seed = seed;
  return options;
}

/// Sessions are cached and lost, nodes and routers restart, and the network is partitioned and healed.
Digest run_seed(std::uint64_t seed) {
  SimulatedNetwork network(options(seed));
  std::mt19937_64 random(seed);
  Digest digest;
  for (int step = 0; step < 40; ++step) {
    const auto router = random() % network.size(), device = random() % 10;
    const Key session = 1 + random() % 6;
    network.run(Micros(static_cast<Micros::rep>(random() % 3'000'000)));
    const auto kind = random() % 12;
    if (kind == 0)
      network.at(router).on_cache_lost(network.device(device), network.now());
    else if (kind == 1)
      network.restart_device(device, [seed](std::size_t at) { return (at + seed) % 2 == 0; });
    else if (kind == 2)
      network.restart(router);
    else if (kind == 3)
      network.partition({0, 1, 0, 1, 0, 1, 0, 1});
    else if (kind == 4)
      network.heal();
    else
      network.at(router).on_prefix_cached(network.device(device), session, 7, 8000, 500, network.now());
    for (std::size_t at = 0; at < network.size(); ++at)
      for (const auto& hint : network.at(at).map()->cache_locations(session, 7))
        digest.add(at, hint.node, hint.tokens, hint.confidence);
  }
  digest.add(network.digest().value());
  return digest;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 24;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    std::cout << seed << ' ' << run_seed(seed) << '\n';
  return 0;
}
