// What the map of kept state may cost and how long it believes what. The operator's [tiers] may set each
// limit.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::tiers {

struct Limits {
  std::size_t device_keys = 1024;            // of this router's own sight, each with two devices at the most
  std::size_t site_keys = 4096;              // in each of: what is kept for the site, what was told of it
  std::size_t region_keys = 2048;            // likewise
  std::size_t devices = 4096;                // whose generations are known
  Micros fade = std::chrono::seconds(60);    // a sight is worth half after it
  Micros repeat = std::chrono::seconds(10);  // everybody says again what still holds
  std::size_t vote_bytes = 16 * 1024;        // a second, to collectors
  std::size_t push_bytes = 128 * 1024;       // a second, from a collector, for each tier
  double cross_least = 2000;  // tokens: with fewer, crossing sites is not worth a line in the region's map
  Micros lease() const { return 6 * repeat; }  // what is not said again is forgotten
};

struct Options {
  std::string name, site;    // this router's
  std::uint64_t start = 0;   // of its process, Unix us
  std::uint64_t secret = 0;  // derived from the fleet's key; the same at all of them
  std::map<std::string, std::vector<std::string>>
      regions;  // sites by region; a site in none has no region tier
  Limits limits{};
};

constexpr Micros tick =
    std::chrono::milliseconds(200);  // between two looks at what is to be said, and two maps
constexpr unsigned news_again = 2;   // what is new is said so often once more, for datagrams get lost
constexpr Micros news_every = std::chrono::seconds(1);
constexpr std::size_t shards = 16;              // of the keys
constexpr std::size_t collectors_of_shard = 3;  // routers of the site or region
constexpr std::size_t holders_bound = 3;        // of a key, in one site
constexpr std::size_t most_hints = 4;           // for a request

}  // namespace lemonroute::tiers
