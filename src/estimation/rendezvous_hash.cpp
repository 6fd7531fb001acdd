#include "estimation/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include "estimation/hash.h"

namespace lemonroute::estimation {
namespace {

struct Zone {
  double readers = 0, writers = 0, part = 0;  // `part`: of all the traffic that the zone can bear
};

// A zone bears what the weaker of its two stages does: a state that finds no writer near has to cross.
std::map<std::uint32_t, Zone> zones_of(const std::vector<WeightedNode>& readers,
                                       const std::vector<WeightedNode>& writers) {
  std::map<std::uint32_t, Zone> zones;
  double all_readers = 0, all_writers = 0;
  for (const auto& one : readers) {
    zones[one.zone].readers += one.relative_capacity;
    all_readers += one.relative_capacity;
  }
  for (const auto& one : writers) {
    zones[one.zone].writers += one.relative_capacity;
    all_writers += one.relative_capacity;
  }
  for (auto& [id, zone] : zones) {
    zone.part = zone.readers / all_readers;
    if (all_writers > 0)
      zone.part = std::min(zone.part, zone.writers / all_writers);
  }
  return zones;
}

}  // namespace

std::vector<EndpointId> affinity_nodes(Key opening, Key session, double part, RouterLocation seat,
                                       const std::vector<WeightedNode>& readers,
                                       const std::vector<WeightedNode>& writers) {
  if (readers.empty())
    return {};
  const auto zones = zones_of(readers, writers);
  const auto here = zones.find(seat.zone);
  // Danger: a zone with few nodes and much traffic. Clients come where routers are; this one's own part of
  // the traffic is here, and the others' is taken to be spread over the zones. What the zone can't bear, the
  // same beginnings for each of its routers, lives in the others.
  const double own = 1.0 / std::max(1u, seat.router_count);
  const double traffic = own + (1 - own) / static_cast<double>(zones.size());
  const bool local = here != zones.end() && here->second.readers > 0 &&
                     hash_to_unit_interval(hash64(opening ^ hash64(seat.zone))) * traffic < here->second.part;
  // By weighted rendezvous: elsewhere a reader counts by what its zone's writers can take of what it reads.
  std::vector<std::pair<double, EndpointId>> ranked;
  for (const auto& reader : readers) {
    if (local != (reader.zone == seat.zone))
      continue;
    const Zone& zone = zones.at(reader.zone);
    const double weight = std::max(1e-6, reader.relative_capacity * zone.part / std::max(1e-9, zone.readers));
    ranked.emplace_back(
        std::log(std::max(1e-18, hash_to_unit_interval(hash64(opening ^ hash64(reader.id))))) / weight,
        reader.id);
  }
  if (ranked.empty())  // the only zone there is, and it bears less than comes
    for (const auto& reader : readers)
      ranked.emplace_back(hash_to_unit_interval(hash64(opening ^ hash64(reader.id))), reader.id);
  const auto most = static_cast<double>(ranked.size());
  const auto wanted = static_cast<std::ptrdiff_t>(std::clamp(std::ceil(2 * part * most), 1.0, most));
  std::partial_sort(ranked.begin(), ranked.begin() + wanted, ranked.end(), std::greater<>());
  std::vector<std::pair<std::uint64_t, EndpointId>> chosen;
  for (auto it = ranked.begin(); it != ranked.begin() + wanted; ++it)
    chosen.emplace_back(hash64(session ^ hash64(it->second)), it->second);
  std::sort(chosen.begin(), chosen.end(), std::greater<>());
  std::vector<EndpointId> ids;
  ids.reserve(chosen.size());
  for (const auto& [rank, id] : chosen)
    ids.push_back(id);
  return ids;
}

}  // namespace lemonroute::estimation
