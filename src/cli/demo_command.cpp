#include <ostream>

#include "cli/arguments.h"
#include "cli/commands.h"

namespace lemonroute::cli {
int demo_command(const Arguments& arguments, std::ostream&, std::ostream&) {
  Usage usage{"demo", "Not yet."};
  parse(arguments, usage);
  return faulty;
}
}  // namespace lemonroute::cli
