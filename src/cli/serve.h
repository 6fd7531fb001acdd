// The running program: everything put together, until it is told to end.
#pragma once

#include "config/operator.h"
#include "config/platform.h"

namespace lemonroute::cli {

int serve(const config::Platform& platform, const config::Operator& settings,
          config::Variables variable);  // throws if it can't start

}  // namespace lemonroute::cli
