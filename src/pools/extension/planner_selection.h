// Selects the router of a region that plans and proposes the region's migrations. The selection only spares
// the other routers the work: mutual exclusion rests on the grantors alone, and two routers that plan at the
// same time only create additional ballots.
#pragma once

#include <string>
#include <vector>

#include "peers/view.h"

namespace lemonroute::pools {

/// Selects one of the region's grantors that the view has as alive, by rendezvous hashing; empty: none is
/// alive.
std::string select_planner(const std::string& region, const std::vector<std::string>& grantors,
                           const peers::View& view);

/// Whether the view has a quorum of the grantors as alive.
bool quorum_reachable(const std::vector<std::string>& grantors, const peers::View& view);

}  // namespace lemonroute::pools
