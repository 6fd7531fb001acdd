/// \file
/// Limits and options of the cache tiers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::tiers {

/// Bounds on memory, traffic and the age of information; each can be set in the [tiers] section.
struct Limits {
  std::size_t device_keys = 1024;  ///< keys seen by this router itself, each with up to two devices
  std::size_t site_keys = 4096;    ///< keys of the site, separately as collector and as receiver
  std::size_t region_keys = 2048;  ///< the same for the region
  std::size_t max_devices = 4096;  ///< devices whose cache epochs are known
  Micros confidence_half_life = std::chrono::seconds(60);  ///< half-life of the confidence in a sighting
  Micros refresh_interval = std::chrono::seconds(10);      ///< interval at which valid entries are sent again
  std::size_t vote_bytes_per_second = 16 * 1024;           ///< bytes per second of votes to collectors
  std::size_t push_bytes_per_second =
      128 * 1024;                      ///< bytes per second that a collector advertises, for each tier
  double min_promotion_tokens = 2000;  ///< minimum tokens of a key that is promoted to the region
  /// How long an entry is valid without being sent again.
  Micros lease() const { return 6 * refresh_interval; }
};

/// Identity of the router and configuration of its cache tiers.
struct Options {
  std::string name;          ///< name of this router
  std::string site;          ///< site of this router
  std::uint64_t start = 0;   ///< start of the process, in Unix us
  std::uint64_t secret = 0;  ///< derived from the fleet's key; the same at all routers
  /// Sites by region; a site in no region has no region tier.
  std::map<std::string, std::vector<std::string>> regions;
  Limits limits{};  ///< bounds
};

/// Interval between two runs of the periodic work, and minimum interval between two hint maps.
constexpr Micros tick_interval = std::chrono::milliseconds(200);
constexpr unsigned change_repeats = 2;  ///< repetitions of a change, because datagrams get lost
constexpr Micros change_repeat_interval = std::chrono::seconds(1);  ///< between two repetitions
constexpr std::size_t shard_count = 16;                             ///< shards of the keys
constexpr std::size_t collectors_per_shard = 3;                     ///< routers of the site or region
constexpr std::size_t max_holders = 3;                              ///< holders of a key in one site
constexpr std::size_t max_hints = 4;                                ///< cache locations for a request

}  // namespace lemonroute::tiers
