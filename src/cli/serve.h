// The running program: everything put together, until it is told to end.
#pragma once

#include <functional>

#include "config/operator.h"
#include "config/platform.h"

namespace lemonroute::cli {

// Reads the configuration anew, at SIGHUP; throws config::ConfigError if it is not in order.
using Reload = std::function<config::Platform()>;

int serve(const config::Platform& platform, const config::Operator& settings,
          Reload reload);  // throws if it can't start

}  // namespace lemonroute::cli
