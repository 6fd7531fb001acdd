// Values of the variables of a general expectation, and how they are written.
#pragma once

#include <string>

#include "expect/general.h"

namespace lemonroute::expect {

// The shortest digits that give the same number again.
std::string plain(double value);

// Reads one variable of "over" and adds it; a fault at `name` where it can't be used.
void read_variable(const std::string& name, const toml::node& node, Section& in,
                   const std::vector<ScriptedNode>& nodes, General& to);

}  // namespace lemonroute::expect
