// What an installation's settings allow, put as limits for the monitor of the rules.
#pragma once

#include "lemonroute/scheduler.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

rules::Limits limits_of(const Settings& settings);

}  // namespace lemonroute::expect
