// At which readers every router, by hash alone, expects the beginning of a prompt. Routers share nothing, so
// this is how they agree. No I/O, no state.
#pragma once

#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::fleet {

// A node that may be chosen. `able`: what it can do against a warm one, above 0.
struct Member {
  HostId id = 0;
  std::uint32_t zone = 0;
  double able = 1;
};
// Where a router stands: its zone, and how many routers there are in all zones, 1 or more.
struct Seat {
  std::uint32_t zone = 0, routers = 1;
};

// The homes of a beginning that makes up `part` (0 to 1) of all arrivals: as many readers as it would half
// fill, one at least. They are in the router's zone, so that neither reads nor states cross zones and each
// zone reads the beginning once; where a zone has too few readers for its routers' traffic, or too few
// writers for what they would read, some beginnings live elsewhere. The reader that the session's hash ranks
// first is in front, so that routers which count the homes differently still agree for most sessions.
// `opening` must not be 0. Work grows with the members.
std::vector<HostId> homes(Key opening, Key session, double part, Seat seat,
                          const std::vector<Member>& readers, const std::vector<Member>& writers);

}  // namespace lemonroute::fleet
