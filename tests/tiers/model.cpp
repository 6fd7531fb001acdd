// Measures the cache tiers by fleet size, and prefills of a popular shared prefix with and without hints, for
// the tables of docs/tiers-design.md. `tiers_model size`, `tiers_model hot`.
#include <cstdio>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "simulated_network.h"

using namespace lemonroute;
using namespace lemonroute::tiers;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
double in_ms(Micros span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

void measure_size(std::size_t routers, std::size_t sites, std::size_t regions, double loss_rate,
                  std::size_t keys_per_second) {
  NetworkOptions options;
  options.routers = routers;
  options.sites = sites;
  options.regions = regions;
  options.devices = std::max<std::size_t>(12, routers / 4);
  options.loss_rate = loss_rate;
  options.seed = routers;
  SimulatedNetwork network(options);
  std::mt19937_64 random(routers);
  Key next = 1;
  const auto load = [&](Micros span) {
    // New sessions and later turns of the last thousand, each with a shared prefix, spread over all routers.
    for (Micros done{}; done < span; done += milliseconds(100)) {
      for (std::size_t n = 0; n < std::max<std::size_t>(1, keys_per_second / 10); ++n) {
        const Key session = random() % 2 ? next++ : next - std::min<Key>(next, 1 + random() % 1000);
        const auto router = random() % routers;
        std::size_t device = session * 7919 % options.devices;
        const double tokens = 1000 + static_cast<double>(session % 7) * 1000;
        network.at(router).on_prefix_cached(network.device(device), session + 100000, 1 + session % 20,
                                            tokens, 800, network.now());
      }
      network.run(milliseconds(100));
    }
  };
  load(seconds(20));
  std::vector<std::uint64_t> out, in;
  for (std::size_t i = 0; i < routers; ++i)
    out.push_back(network.bytes_out(i)), in.push_back(network.bytes_in(i));
  load(seconds(10));
  double mean = 0, most = 0, most_in = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    const auto bytes = static_cast<double>(network.bytes_out(i) - out[i]) / 10;
    mean += bytes / static_cast<double>(routers);
    most = std::max(most, bytes);
    most_in = std::max(most_in, static_cast<double>(network.bytes_in(i) - in[i]) / 10);
  }
  // The time from a sighting at one router until all routers of its site have the hint.
  std::vector<Micros> times;
  for (int k = 0; k < 5; ++k) {
    const Key fresh = 1u << 30 | static_cast<unsigned>(k);
    const auto from = random() % routers;
    network.at(from).on_prefix_cached(network.device(0), fresh, 0, 8000, 0, network.now());
    times.push_back(network.run_until(
        [&] {
          for (std::size_t i = from % sites; i < routers; i += sites)
            if (network.at(i).map()->cache_locations(fresh, 0).empty())
              return false;
          return true;
        },
        seconds(60)));
  }
  std::sort(times.begin(), times.end());
  // The time from a cache loss until every router reports it to its core.
  const auto lost_at = network.now();
  const std::size_t noticing = 1 % routers;
  network.at(noticing).on_cache_lost(network.device(0), network.now());
  const auto invalidated = network.run_until(
      [&] {
        for (std::size_t i = 0; i < routers; ++i)
          if (i != noticing && network.at(i).map()->cache_lost_at(network.device(0)) < lost_at)
            return false;
        return true;
      },
      seconds(60));
  const auto description = network.at(0).describe(network.now());
  std::printf("%7zu %5zu %7zu %5.0f%% %6zu %9.1f %9.1f %9.1f %8zu %8zu %8zu %8.0f %8.0f %8.0f\n", routers,
              sites, regions, 100 * loss_rate, keys_per_second, mean / 1000, most / 1000, most_in / 1000,
              description["site"]["keys_told"].get<std::size_t>(),
              description["site"]["keys_kept"].get<std::size_t>(),
              description["region"]["keys_told"].get<std::size_t>(), in_ms(times[2]), in_ms(times[4]),
              in_ms(invalidated));
  std::fflush(stdout);
}

// Prefills of one shared prefix over 24 routers of a site and 40 devices, for 60 s with 20 arrivals a second.
// Each device is busy with a probability of 0.3. A router prefers its own sightings, then the hints, then a
// random device; the model leaves out placement by hash, on which routers agree without communication. A
// prefill is full if the prefix is not cached; a cached prefix is evicted after 8 s without use.
void measure_shared_prefix(const char* label, bool with_map, int lying_routers, bool evict_all,
                           std::uint64_t seed) {
  NetworkOptions options;
  options.routers = 24;
  options.devices = 40;
  options.seed = seed;
  SimulatedNetwork network(options);
  std::mt19937_64 random(seed);
  std::vector<std::map<std::size_t, Micros>> own_sightings(24);
  std::map<std::size_t, Micros> cached_at;
  int full_prefills = 0, arrivals = 0, misled = 0;
  std::set<std::size_t> devices;
  constexpr Key shared_prefix = 42;
  const auto busy = [&] { return random() % 10 < 3; };
  for (int step = 0; step < 1200; ++step) {
    network.run(milliseconds(50));
    if (evict_all && step % 100 == 0)
      cached_at.clear();  // evicted everywhere without a report
    for (int lying_router = 0; lying_router < lying_routers; ++lying_router)
      for (int k = 0; step % 20 == 0 && k < 50; ++k)
        network.at(static_cast<std::size_t>(lying_router))
            .on_prefix_cached(network.device(39), 0, k == 0 ? shared_prefix : 1000 + static_cast<Key>(k), 1e6,
                              1e6, network.now());
    const auto c =
        static_cast<std::size_t>(lying_routers) + random() % (24 - static_cast<std::size_t>(lying_routers));
    ++arrivals;
    std::vector<std::size_t> order;
    for (const auto& [device, at] : own_sightings[c])
      if (network.now() - at < seconds(30))
        order.push_back(device);
    std::sort(order.begin(), order.end(),
              [&](auto a, auto b) { return own_sightings[c][a] > own_sightings[c][b]; });
    std::size_t hinted = 40;
    if (with_map)
      for (const auto& hint : network.at(c).map()->cache_locations(0, shared_prefix)) {
        if (hint.confidence < 0.1)
          continue;
        const auto device = std::stoul(hint.node.substr(1));
        if (std::find(order.begin(), order.end(), device) != order.end())
          continue;
        order.push_back(device);
        if (hinted == 40)
          hinted = device;
      }
    std::size_t chosen = 40;
    for (const auto device : order)
      if (chosen == 40 && !busy())
        chosen = device;
    while (chosen == 40)
      chosen = random() % 40;
    const bool there = cached_at.count(chosen) && network.now() - cached_at[chosen] < seconds(8);
    if (!there)
      ++full_prefills, own_sightings[c].erase(chosen);
    if (!there && chosen == 39 && lying_routers)
      ++misled;
    network.at(c).on_cache_hit(network.device(chosen), 0, shared_prefix, there ? 800 : 0, network.now());
    cached_at[chosen] = own_sightings[c][chosen] = network.now();
    devices.insert(chosen);
    network.at(c).on_prefix_cached(network.device(chosen), 0, shared_prefix, 2000, 800, network.now());
  }
  std::printf("%-36s seed %2llu  arrivals %d  full prefills %4d  devices %2zu  misled by a lying router %d\n",
              label, static_cast<unsigned long long>(seed), arrivals, full_prefills, devices.size(), misled);
}
}  // namespace

int main(int count, char** arguments) {
  if (count > 1 && !std::strcmp(arguments[1], "hot")) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      measure_shared_prefix("without hints", false, 0, false, seed);
      measure_shared_prefix("with hints", true, 0, false, seed);
      measure_shared_prefix("without hints, eviction every 5 s", false, 0, true, seed);
      measure_shared_prefix("with hints, eviction every 5 s", true, 0, true, seed);
      measure_shared_prefix("without hints, 1 of 24 routers lies", false, 1, false, seed);
      measure_shared_prefix("with hints, 1 of 24 routers lies", true, 1, false, seed);
      measure_shared_prefix("without hints, 6 of 24 routers lie", false, 6, false, seed);
      measure_shared_prefix("with hints, 6 of 24 routers lie", true, 6, false, seed);
    }
    return 0;
  }
  if (count > 1 && std::strcmp(arguments[1], "size")) {
    std::fprintf(stderr,
                 "usage: tiers_model [hot | size [ROUTERS SITES REGIONS LOSS_PERCENT KEYS_A_SECOND]]\n");
    return 2;
  }
  std::printf(
      "routers sites regions  loss keys/s KB/s mean  KB/s out   KB/s in recv/sit coll/sit recv/reg hint ms  "
      "slowest  loss ms\n");
  const auto number = [&](int i) { return std::stoul(arguments[i]); };
  if (count == 7)
    return measure_size(number(2), number(3), number(4), static_cast<double>(number(5)) / 100, number(6)), 0;
  for (const double loss_rate : {0.0, 0.3}) {
    measure_size(3, 1, 1, loss_rate, 60);
    measure_size(24, 1, 1, loss_rate, 200);
    measure_size(24, 2, 1, loss_rate, 200);
    measure_size(100, 4, 2, loss_rate, 400);
    measure_size(300, 6, 2, loss_rate, 600);
    measure_size(1000, 12, 3, loss_rate, 1000);
  }
}
