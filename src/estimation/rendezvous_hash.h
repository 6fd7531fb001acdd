// At which readers every router, by hash alone, expects the beginning of a prompt. Routers share nothing, so
// this is how they agree. No I/O, no state.
#pragma once

#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

// A node that may be chosen. `able`: what it can do against a warm one, above 0.
struct WeightedNode {
  EndpointId id = 0;
  std::uint32_t zone = 0;
  double relative_capacity = 1;
};
// Where a router stands: its zone, and how many routers there are in all zones, 1 or more.
struct RouterLocation {
  std::uint32_t zone = 0, router_count = 1;
};

// The homes of a beginning that makes up `part` (0 to 1) of all arrivals: as many readers as it would half
// fill, one at least. They are in the router's zone, so that neither reads nor states cross zones and each
// zone reads the beginning once; where a zone has too few readers for its routers' traffic, or too few
// writers for what they would read, some beginnings live elsewhere. The reader that the session's hash ranks
// first is in front, so that routers which count the homes differently still agree for most sessions.
// `opening` must not be 0. Work grows with the members.
std::vector<EndpointId> affinity_nodes(Key opening, Key session, double part, RouterLocation seat,
                                       const std::vector<WeightedNode>& readers,
                                       const std::vector<WeightedNode>& writers);

}  // namespace lemonroute::estimation
