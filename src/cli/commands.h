// The sub-commands of the command line.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace lemonroute::cli {

// Runs the command that `arguments` (without the program's name) give, and returns the exit code: 0, 1 for a
// fault in what a command works on, 2 for a call that is not understood.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace lemonroute::cli
