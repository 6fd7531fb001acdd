/// Prints digests of the worlds of pools, from seed 1: pools_digests rights|planned [COUNT].
#include <cstdlib>
#include <iostream>
#include <string>

#include "rights_world.h"
#include "world.h"

using namespace lemonroute;
using namespace std::chrono_literals;

namespace {

/// Keepers and holders of one pool, in trouble for 30 s and well afterwards.
Digest play_rights(std::uint64_t seed) {
  pools::rights::World world(seed);
  world.run(Micros(30'000'000));
  return world.digest();
}

/// Tells all routers what their regions ask for.
void ask_for(pools::test::World& world, double north, double south) {
  for (auto& one : world.processes) {
    if (!one->pools)
      continue;
    NodeObserver::Demand demand;
    demand.own_load = (one->site == "n" ? north : south) / 3 * world.settings.fill / 4;
    demand.decode_nodes = 4;
    demand.accepted_requests = 10;
    one->pools->on_demand(demand, one->local());
  }
}

/// Two regions whose demand changes, with losses, a crash, a freeze and a cut.
Digest play_planned(std::uint64_t seed) {
  pools::Settings settings = pools::test::two_regions();
  settings.correction = 0.2;
  pools::test::World world(settings, seed);
  world.loss = 0.05 * static_cast<double>(seed % 4);
  for (int second = 0; second < 180; ++second)
    world.at(second * 1s, [&world, second] {
      second < 60 ? ask_for(world, 12, 12) : second < 120 ? ask_for(world, 6, 16) : ask_for(world, 12, 8);
    });
  auto& one = *world.processes[seed % world.processes.size()];
  auto& other = *world.processes[(seed + 1) % world.processes.size()];
  world.at(70s, [&] { world.crash(one); });
  world.at(90s, [&] { world.begin(one); });
  world.at(100s, [&] { other.frozen_until = world.now + 8s; });
  world.at(130s, [&] { world.linked = [](auto& from, auto& to) { return from.site == to.site; }; });
  world.at(145s, [&] { world.linked = [](auto&, auto&) { return true; }; });
  for (int second = 5; second <= 180; second += 5) {
    world.run(second * 1s);
    for (const std::string site : {"n", "s"})
      for (std::uint16_t cell = 0; cell < 3; ++cell)
        for (const auto& [region, senders] : world.senders({site, cell}))
          world.digest.add(site, cell, region, senders);
  }
  return world.digest;
}

}  // namespace

int main(int argc, char** argv) {
  const bool rights = argc > 1 && std::string(argv[1]) == "rights";
  const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : rights ? 400 : 12;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    std::cout << seed << ' ' << (rights ? play_rights(seed) : play_planned(seed)) << '\n';
  return 0;
}
