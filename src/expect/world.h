// Plays a case: the real core and the real Scheduler, on a clock that is moved from event to event, with
// scripted nodes and clients around them. Nothing here decides anything; the monitor of the rules watches
// every edge.
#pragma once

#include <cstdint>
#include <optional>

#include "expect/case.h"
#include "expect/limits.h"
#include "expect/run.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

struct Options {
  std::uint64_t seed = 0;
  bool explain = false;
  std::optional<rules::Limits> limits;  // instead of those that the setup's settings give
};

// Plays a case once. A step that can't be played as written is told of in the run and left out.
Run play(const Case& one, const Setup& setup, const Options& options);

}  // namespace lemonroute::expect
