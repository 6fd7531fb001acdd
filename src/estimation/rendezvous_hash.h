/// \file
/// At which prefill nodes every router expects a prompt prefix to be cached, by hash alone. Routers share no
/// state, and so they agree without a message. Free of I/O and of state, so that any thread may call it.
#pragma once

#include <cstdint>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// A node that may be chosen.
struct WeightedNode {
  /// The node; not 0.
  EndpointId id = 0;
  /// The zone that the node is in.
  std::uint32_t zone = 0;
  /// The node's capacity against that of a node that is not in slow start, which has 1. Must be above 0.
  double relative_capacity = 1;
};

/// Where a router is, and how many routers there are.
struct RouterLocation {
  /// The zone that the router is in.
  std::uint32_t zone = 0;
  /// The number of routers in all zones, this one included; 0 counts as 1.
  std::uint32_t router_count = 1;
};

/// Returns the prefill nodes where a prefix is expected, the preferred one for the session first. Empty if
/// there are no prefill nodes.
///
/// Most prefixes stay in the router's zone, so that no KV cache crosses zones and each zone computes a prefix
/// once. Where the zone has too few prefill or decode nodes for the traffic of its routers, some prefixes go
/// to the other zones instead: the same ones for all routers of the zone.
///
/// There are as many nodes as the prefix's traffic would half fill, and at least one. The hash of the session
/// orders them. Routers that estimate `share` differently get lists of different lengths, but the same first
/// node for most sessions.
///
/// \param prefix_key the shared prefix, or the session of a request without one. Must not be 0, which means
/// "none": all requests without a key would be expected at the same nodes.
/// \param session_key the session; 0, which means "none", is a session like any other here
/// \param share the share that requests with the prefix have among all arrivals, 0 to 1
/// \param location where the router is
/// \param prefill_nodes the nodes to choose from; the time taken grows with their number
/// \param decode_nodes the nodes that fetch the KV caches of the chosen ones; may be empty
std::vector<EndpointId> affinity_nodes(Key prefix_key, Key session_key, double share, RouterLocation location,
                                       const std::vector<WeightedNode>& prefill_nodes,
                                       const std::vector<WeightedNode>& decode_nodes);

}  // namespace lemonroute::estimation
