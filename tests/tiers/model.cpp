// The map measured by size of the fleet, and reads of a hot opening with and without it: the tables of
// docs/tiers-design.md. `tiers_model size`, `tiers_model hot`.
#include <cstdio>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "net.h"

using namespace lemonroute;
using namespace lemonroute::tiers;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
double in_ms(Micros span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

void size_of(std::size_t routers, std::size_t sites, std::size_t regions, double lose,
             std::size_t keys_a_second) {
  NetOptions options;
  options.routers = routers;
  options.sites = sites;
  options.regions = regions;
  options.devices = std::max<std::size_t>(12, routers / 4);
  options.lose = lose;
  options.seed = routers;
  Net net(options);
  std::mt19937_64 random(routers);
  Key next = 1;
  const auto load = [&](Micros span) {
    // New conversations and later turns of the last thousand, one opening for each; spread over all routers.
    for (Micros done{}; done < span; done += milliseconds(100)) {
      for (std::size_t n = 0; n < std::max<std::size_t>(1, keys_a_second / 10); ++n) {
        const Key session = random() % 2 ? next++ : next - std::min<Key>(next, 1 + random() % 1000);
        const auto router = random() % routers;
        std::size_t device = session * 7919 % options.devices;
        const double tokens = 1000 + static_cast<double>(session % 7) * 1000;
        net.at(router).on_prefix_cached(net.device(device), session + 100000, 1 + session % 20, tokens, 800,
                                        net.now());
      }
      net.run(milliseconds(100));
    }
  };
  load(seconds(20));
  std::vector<std::uint64_t> out, in;
  for (std::size_t i = 0; i < routers; ++i)
    out.push_back(net.bytes_out(i)), in.push_back(net.bytes_in(i));
  load(seconds(10));
  double mean = 0, most = 0, most_in = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    const auto bytes = static_cast<double>(net.bytes_out(i) - out[i]) / 10;
    mean += bytes / static_cast<double>(routers);
    most = std::max(most, bytes);
    most_in = std::max(most_in, static_cast<double>(net.bytes_in(i) - in[i]) / 10);
  }
  // A key seen at one router, until it is a hint at all others of the site.
  std::vector<Micros> times;
  for (int k = 0; k < 5; ++k) {
    const Key fresh = 1u << 30 | static_cast<unsigned>(k);
    const auto from = random() % routers;
    net.at(from).on_prefix_cached(net.device(0), fresh, 0, 8000, 0, net.now());
    times.push_back(net.until(
        [&] {
          for (std::size_t i = from % sites; i < routers; i += sites)
            if (net.at(i).map()->cache_locations(fresh, 0).empty())
              return false;
          return true;
        },
        seconds(60)));
  }
  std::sort(times.begin(), times.end());
  // A loss of kept text, until no router's map credits the device and each has told its core.
  const auto lossy = net.now();
  const std::size_t noticing = 1 % routers;
  net.at(noticing).on_cache_lost(net.device(0), net.now());
  const auto voided = net.until(
      [&] {
        for (std::size_t i = 0; i < routers; ++i)
          if (i != noticing && net.at(i).map()->cache_lost_at(net.device(0)) < lossy)
            return false;
        return true;
      },
      seconds(60));
  const auto told = net.at(0).describe(net.now());
  std::printf("%5zu %5zu %7zu %5.0f%% %6zu %9.1f %9.1f %9.1f %8zu %8zu %8zu %8.0f %8.0f %8.0f\n", routers,
              sites, regions, 100 * lose, keys_a_second, mean / 1000, most / 1000, most_in / 1000,
              told["site"]["keys_told"].get<std::size_t>(), told["site"]["keys_kept"].get<std::size_t>(),
              told["region"]["keys_told"].get<std::size_t>(), in_ms(times[2]), in_ms(times[4]),
              in_ms(voided));
  std::fflush(stdout);
}

// Reads of one opening over 24 routers of a site and 40 devices, 60 s, 20 arrivals a second. Each device is
// busy with a chance of 0.3. A router takes what it knows itself, then what the map says, else a device at
// random: homes by hash, by which routers agree without talking, are not in this model. A read is whole where
// the opening is not kept; kept texts are pushed out after 8 s unused.
void hot(const char* what, bool with_map, int liars, bool stale, std::uint64_t seed) {
  NetOptions options;
  options.routers = 24;
  options.devices = 40;
  options.seed = seed;
  Net net(options);
  std::mt19937_64 random(seed);
  std::vector<std::map<std::size_t, Micros>> own(24);
  std::map<std::size_t, Micros> kept;
  int whole = 0, arrivals = 0, lied = 0;
  std::set<std::size_t> devices;
  constexpr Key opening = 42;
  const auto busy = [&] { return random() % 10 < 3; };
  for (int step = 0; step < 1200; ++step) {
    net.run(milliseconds(50));
    if (stale && step % 100 == 0)
      kept.clear();  // pushed out everywhere, and nobody says so
    for (int liar = 0; liar < liars; ++liar)
      for (int k = 0; step % 20 == 0 && k < 50; ++k)
        net.at(static_cast<std::size_t>(liar))
            .on_prefix_cached(net.device(39), 0, k == 0 ? opening : 1000 + static_cast<Key>(k), 1e6, 1e6,
                              net.now());
    const auto c = static_cast<std::size_t>(liars) + random() % (24 - static_cast<std::size_t>(liars));
    ++arrivals;
    std::vector<std::size_t> order;
    for (const auto& [device, at] : own[c])
      if (net.now() - at < seconds(30))
        order.push_back(device);
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return own[c][a] > own[c][b]; });
    std::size_t hinted = 40;
    if (with_map)
      for (const auto& hint : net.at(c).map()->cache_locations(0, opening)) {
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
    const bool there = kept.count(chosen) && net.now() - kept[chosen] < seconds(8);
    if (!there)
      ++whole, own[c].erase(chosen);
    if (!there && chosen == 39 && liars)
      ++lied;
    net.at(c).on_cache_hit(net.device(chosen), 0, opening, there ? 800 : 0, net.now());
    kept[chosen] = own[c][chosen] = net.now();
    devices.insert(chosen);
    net.at(c).on_prefix_cached(net.device(chosen), 0, opening, 2000, 800, net.now());
  }
  std::printf("%-36s seed %2llu  arrivals %d  whole reads %4d  devices %2zu  misled by a liar %d\n", what,
              static_cast<unsigned long long>(seed), arrivals, whole, devices.size(), lied);
}
}  // namespace

int main(int count, char** arguments) {
  if (count > 1 && !std::strcmp(arguments[1], "hot")) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      hot("without the map", false, 0, false, seed);
      hot("with it", true, 0, false, seed);
      hot("without, all pushed out each 5 s", false, 0, true, seed);
      hot("with it, all pushed out each 5 s", true, 0, true, seed);
      hot("without, a liar among the 24", false, 1, false, seed);
      hot("with it, a liar among the 24", true, 1, false, seed);
      hot("without, six liars", false, 6, false, seed);
      hot("with it, six liars", true, 6, false, seed);
    }
    return 0;
  }
  if (count > 1 && std::strcmp(arguments[1], "size")) {
    std::fprintf(stderr,
                 "usage: tiers_model [hot | size [ROUTERS SITES REGIONS LOSS_PERCENT KEYS_A_SECOND]]\n");
    return 2;
  }
  std::printf(
      "conds sites regions  loss keys/s KB/s mean  KB/s out   KB/s in told/sit kept/sit told/reg hint ms  "
      "slowest  void ms\n");
  const auto number = [&](int i) { return std::stoul(arguments[i]); };
  if (count == 7)
    return size_of(number(2), number(3), number(4), static_cast<double>(number(5)) / 100, number(6)), 0;
  for (const double lose : {0.0, 0.3}) {
    size_of(3, 1, 1, lose, 60);
    size_of(24, 1, 1, lose, 200);
    size_of(24, 2, 1, lose, 200);
    size_of(100, 4, 2, lose, 400);
    size_of(300, 6, 2, lose, 600);
    size_of(1000, 12, 3, lose, 1000);
  }
}
