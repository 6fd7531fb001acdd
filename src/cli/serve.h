// The running program: everything put together, until it is told to end.
#pragma once

#include "config/platform.h"

namespace lemonroute::cli {

int serve(const config::Platform& platform);

}  // namespace lemonroute::cli
