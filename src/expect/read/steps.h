// Reads the steps of a case: what happens, in which order.
#pragma once

#include <set>
#include <string>

#include "expect/case.h"

namespace lemonroute::expect {

// Reads "steps" into the case, whose nodes have been read. Returns the names of the requests asked for.
std::set<std::string> read_steps(Section& table, const Setup& setup, Case& to);

}  // namespace lemonroute::expect
