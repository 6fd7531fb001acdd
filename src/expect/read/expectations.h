// Reads what a case expects of its requests, and checks that some run could fulfil it.
#pragma once

#include <set>
#include <string>

#include "expect/case.h"

namespace lemonroute::expect {

// Reads "expect" into the case, whose nodes and steps have been read. `asked`: names of its requests.
void read_expectations(Section& table, const Setup& setup, const std::set<std::string>& asked, Case& to);

// What no run whatever can fulfil is a slip in the file, not a fault of the decisions: adds faults to `in`.
void check_reachable(Section& in, const Expectation& expected, const Settings& settings, const Case& of);

}  // namespace lemonroute::expect
