/// \file
/// What all classes behind Router use. Used on the serving thread only.
#pragma once

#include <functional>

#include "core/timers.h"
#include "core/types.h"

namespace lemonroute {

/// References to what the Router owns or was given. The Router outlives every class that holds them.
struct RouterContext {
  const Settings& settings;  ///< the settings in force; Router::update_settings replaces their value
  const Clock& clock;        ///< the core's clock
  Timers& timers;            ///< the timers of the router
  NodeTransport& transport;  ///< makes the calls to nodes
  /// Call it after a change that may have moved the next timer or made the router idle.
  std::function<void()> notify_change;

  /// Returns the present time on the core's clock.
  [[nodiscard]] Micros now() const { return clock.now(); }
};

}  // namespace lemonroute
