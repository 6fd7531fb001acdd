// Reads the nodes of a case: from the configuration, from a fleet of the file and from the case itself.
#pragma once

#include <cstddef>
#include <vector>

#include "expect/case.h"

namespace lemonroute::expect {

inline constexpr std::size_t most_nodes = 4096;  // of one case

// Adds faults to the section where a node can't be used.
std::vector<ScriptedNode> read_scripted_nodes(Section& table, const Setup& setup, const Fleets& fleets);

}  // namespace lemonroute::expect
