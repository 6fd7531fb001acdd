/// \file
/// Chooses by hash the prefill nodes at which every router expects a prompt prefix to be cached. Routers
/// agree without shared state or messages. The function is stateless and thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// A candidate node.
struct WeightedNode {
  /// The node; not 0.
  EndpointId id = 0;
  /// The zone that the node is in.
  std::uint32_t zone = 0;
  /// Capacity relative to a node that is not in slow start. Must be above 0.
  double relative_capacity = 1;
};

/// The zone of a router and the number of routers.
struct RouterLocation {
  /// The zone that the router is in.
  std::uint32_t zone = 0;
  /// The number of routers in all zones, this one included; 0 counts as 1.
  std::uint32_t router_count = 1;
};

/// Returns the prefill nodes at which a prefix is expected, the preferred one for the session first. Empty if
/// there are no prefill nodes.
///
/// Most prefixes stay in the router's zone, so that no KV cache crosses zones and each zone computes a prefix
/// once. If the zone has too few prefill or decode nodes for the traffic of its routers, some prefixes go to
/// other zones instead, the same ones for all routers of the zone.
///
/// There are as many nodes as the traffic of the prefix would half fill, and at least one, ordered by the
/// hash of the session. Routers with different estimates of `share` get lists of different lengths, but the
/// same first node for most sessions.
///
/// \param prefix_key the shared prefix, or the session of a request without one. Must not be 0, which means
/// "none": all requests without a key would otherwise get the same nodes.
/// \param session_key the session; 0, which means "none", is treated like any other session
/// \param share the share of requests with the prefix among all arrivals, 0 to 1
/// \param location the zone of the router and the number of routers
/// \param prefill_nodes the candidates; the running time grows with their number
/// \param decode_nodes the nodes that fetch KV caches from the chosen nodes; may be empty
std::vector<EndpointId> affinity_nodes(Key prefix_key, Key session_key, double share, RouterLocation location,
                                       const std::vector<WeightedNode>& prefill_nodes,
                                       const std::vector<WeightedNode>& decode_nodes);

}  // namespace lemonroute::estimation
