/// Prints the digests of simulations of pools for the seeds from 1 on: pools_digests rights|planned [COUNT].
#include <cstdlib>
#include <iostream>
#include <string>

#include "extension_world.h"
#include "lease_world.h"

using namespace lemonroute;
using namespace std::chrono_literals;

namespace {

/// Grantors and lease holders of one pool, with faults for 30 s and without faults afterwards.
Digest simulate_leases(std::uint64_t seed) {
  pools::leases::World world(seed);
  world.run(Micros(30'000'000));
  return world.digest();
}

/// Reports the demand of their region to all routers.
void report_demand(pools::test::World& world, double north, double south) {
  for (auto& one : world.processes) {
    if (!one->extension)
      continue;
    NodeObserver::Demand demand;
    demand.own_load = (one->site == "n" ? north : south) / 3 * world.settings.target_fill / 4;
    demand.decode_nodes = 4;
    demand.accepted_requests = 10;
    one->extension->on_demand(demand, one->local());
  }
}

/// Two regions whose demand changes, with message loss, a crash, a suspended process and a partition.
Digest simulate_planned(std::uint64_t seed) {
  pools::Settings settings = pools::test::two_regions();
  settings.max_correction = 0.2;
  pools::test::World world(settings, seed);
  world.loss = 0.05 * static_cast<double>(seed % 4);
  for (int second = 0; second < 180; ++second)
    world.at(second * 1s, [&world, second] {
      second < 60    ? report_demand(world, 12, 12)
      : second < 120 ? report_demand(world, 6, 16)
                     : report_demand(world, 12, 8);
    });
  auto& one = *world.processes[seed % world.processes.size()];
  auto& other = *world.processes[(seed + 1) % world.processes.size()];
  world.at(70s, [&] { world.crash(one); });
  world.at(90s, [&] { world.start(one); });
  world.at(100s, [&] { other.suspended_until = world.now + 8s; });
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
  const bool leases = argc > 1 && std::string(argv[1]) == "rights";
  const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : leases ? 400 : 12;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    std::cout << seed << ' ' << (leases ? simulate_leases(seed) : simulate_planned(seed)) << '\n';
  return 0;
}
