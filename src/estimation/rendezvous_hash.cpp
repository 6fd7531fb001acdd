#include "estimation/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <map>
#include <utility>

#include "estimation/hash.h"

namespace lemonroute::estimation {
namespace {

struct ZoneCapacity {
  double prefill = 0;           // relative capacity of its prefill nodes
  double decode = 0;            // relative capacity of its decode nodes
  double share_of_traffic = 0;  // share of the total traffic that it can serve, 0 to 1
};

using ZoneCapacities = std::map<std::uint32_t, ZoneCapacity>;

// The rank of a node, where higher is better, and its id.
using RankedNode = std::pair<double, EndpointId>;

// Lower bounds that keep logarithms and quotients finite.
constexpr double min_hash = 1e-18;
constexpr double min_capacity = 1e-9;
constexpr double min_weight = 1e-6;

// Number of nodes for a prefix per node that its traffic would fill, so that its traffic half fills each of
// them.
constexpr double nodes_per_full_load = 2;

// A zone can serve as much traffic as the weaker of its two stages: without a decode node in its zone, a KV
// cache has to be transferred to another zone.
ZoneCapacities capacities_by_zone(const std::vector<WeightedNode>& prefill_nodes,
                                  const std::vector<WeightedNode>& decode_nodes) {
  ZoneCapacities zones;
  double total_prefill = 0;
  for (const WeightedNode& node : prefill_nodes) {
    zones[node.zone].prefill += node.relative_capacity;
    total_prefill += node.relative_capacity;
  }
  double total_decode = 0;
  for (const WeightedNode& node : decode_nodes) {
    zones[node.zone].decode += node.relative_capacity;
    total_decode += node.relative_capacity;
  }
  for (auto& [id, zone] : zones) {
    zone.share_of_traffic = zone.prefill / total_prefill;
    if (total_decode > 0)
      zone.share_of_traffic = std::min(zone.share_of_traffic, zone.decode / total_decode);
  }
  return zones;
}

double hash_of_pair(Key prefix_key, std::uint32_t id) {
  return hash_to_unit_interval(hash64(prefix_key ^ hash64(id)));
}

// Returns whether the prefix stays in the router's zone. A zone with few nodes and much traffic would be
// overloaded if all prefixes stayed. The traffic of this router originates in its zone, and that of the other
// routers is assumed to be spread evenly over the zones. Prefixes beyond the capacity of the zone go to other
// zones; they are chosen by hash and therefore the same for all routers of the zone.
bool stays_in_zone(Key prefix_key, RouterLocation location, const ZoneCapacities& zones) {
  const auto found = zones.find(location.zone);
  if (found == zones.end() || found->second.prefill <= 0)
    return false;
  const double own_traffic = 1.0 / std::max(1u, location.router_count);
  const double zone_traffic = own_traffic + (1 - own_traffic) / static_cast<double>(zones.size());
  return hash_of_pair(prefix_key, location.zone) * zone_traffic < found->second.share_of_traffic;
}

// Ranks the prefill nodes of the router's zone, or those of all other zones, by weighted rendezvous hashing.
// The weight of a node is its part of the traffic that its zone can serve, so a lack of decode nodes in the
// zone lowers it.
std::vector<RankedNode> rank_by_capacity(Key prefix_key, RouterLocation location, const ZoneCapacities& zones,
                                         const std::vector<WeightedNode>& prefill_nodes) {
  const bool in_own_zone = stays_in_zone(prefix_key, location, zones);
  std::vector<RankedNode> ranked;
  for (const WeightedNode& node : prefill_nodes) {
    if (in_own_zone != (node.zone == location.zone))
      continue;
    const ZoneCapacity& zone = zones.at(node.zone);
    const double zone_prefill = std::max(min_capacity, zone.prefill);
    const double weight = std::max(min_weight, node.relative_capacity * zone.share_of_traffic / zone_prefill);
    const double hash = std::max(min_hash, hash_of_pair(prefix_key, node.id));
    ranked.emplace_back(std::log(hash) / weight, node.id);
  }
  return ranked;
}

// Ranks all prefill nodes by rendezvous hashing without weights.
std::vector<RankedNode> rank_equally(Key prefix_key, const std::vector<WeightedNode>& prefill_nodes) {
  std::vector<RankedNode> ranked;
  ranked.reserve(prefill_nodes.size());
  for (const WeightedNode& node : prefill_nodes)
    ranked.emplace_back(hash_of_pair(prefix_key, node.id), node.id);
  return ranked;
}

// Keeps the best nodes: as many as the traffic of the prefix would half fill, and at least one.
void keep_best(std::vector<RankedNode>& ranked, double share) {
  const auto candidates = static_cast<double>(ranked.size());
  const double wanted = std::ceil(nodes_per_full_load * share * candidates);
  const auto kept = static_cast<std::ptrdiff_t>(std::clamp(wanted, 1.0, candidates));
  const auto end_of_kept = ranked.begin() + kept;
  std::partial_sort(ranked.begin(), end_of_kept, ranked.end(), std::greater<>());
  ranked.erase(end_of_kept, ranked.end());
}

std::vector<EndpointId> order_by_session(Key session_key, const std::vector<RankedNode>& nodes) {
  std::vector<std::pair<std::uint64_t, EndpointId>> by_hash;
  by_hash.reserve(nodes.size());
  for (const auto& [rank, id] : nodes)
    by_hash.emplace_back(hash64(session_key ^ hash64(id)), id);
  std::sort(by_hash.begin(), by_hash.end(), std::greater<>());
  std::vector<EndpointId> ids;
  ids.reserve(by_hash.size());
  for (const auto& [hash, id] : by_hash)
    ids.push_back(id);
  return ids;
}

}  // namespace

std::vector<EndpointId> affinity_nodes(Key prefix_key, Key session_key, double share, RouterLocation location,
                                       const std::vector<WeightedNode>& prefill_nodes,
                                       const std::vector<WeightedNode>& decode_nodes) {
  if (prefill_nodes.empty())
    return {};
  const ZoneCapacities zones = capacities_by_zone(prefill_nodes, decode_nodes);
  std::vector<RankedNode> ranked = rank_by_capacity(prefix_key, location, zones, prefill_nodes);
  if (ranked.empty())  // the prefix does not stay in the zone, but no other zone has prefill nodes
    ranked = rank_equally(prefix_key, prefill_nodes);
  keep_best(ranked, share);
  return order_by_session(session_key, ranked);
}

}  // namespace lemonroute::estimation
