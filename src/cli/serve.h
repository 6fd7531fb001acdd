// The running program: everything put together, until it is told to end.
#pragma once

#include "cli/program.h"

namespace lemonroute::cli {

int serve(const config::Platform& platform, const config::Operator& settings,
          Reload reload);  // throws if it can't start

}  // namespace lemonroute::cli
