// Which router of a region plans and proposes its moves: a hint that spares the others the work. Safety rests
// on the keepers alone, and two that plan at once only make ballots.
#pragma once

#include <string>
#include <vector>

#include "peers/view.h"

namespace lemonroute::pools {

// The first of the keepers, by rendezvous hash over those that the view has as alive; empty: none is.
std::string planner_of(const std::string& region, const std::vector<std::string>& keepers,
                       const peers::View& view);

// Whether as many of them are there as a majority takes.
bool majority_there(const std::vector<std::string>& keepers, const peers::View& view);

}  // namespace lemonroute::pools
