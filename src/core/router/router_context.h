/// \file
/// The objects that all classes of the router's implementation share. Used on the serving thread only.
#pragma once

#include <functional>

#include "core/timers.h"
#include "core/types.h"

namespace lemonroute {

/// References to objects that the Router owns or has received. The Router outlives every user of them.
struct RouterContext {
  const Settings& settings;  ///< the current settings; Router::update_settings replaces their value
  const Clock& clock;        ///< the core's clock
  Timers& timers;            ///< the timers of the router
  NodeTransport& transport;  ///< makes the calls to nodes
  /// Must be called after every change that may have moved the next timer or made the router idle.
  std::function<void()> notify_change;

  /// Returns the present time on the core's clock.
  [[nodiscard]] Micros now() const { return clock.now(); }
};

}  // namespace lemonroute
