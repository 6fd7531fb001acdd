/// \file
/// The classes behind Router, in the order of their dependencies. Private to src/core.
#pragma once

#include <string>
#include <vector>

#include "core/request_metrics.h"
#include "core/router.h"
#include "core/router/action_executor.h"
#include "core/router/attempt_runner.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/observer_reporter.h"
#include "core/router/request_table.h"
#include "core/router/reservation_releaser.h"
#include "core/router/router_context.h"
#include "core/router/stream_handoff.h"
#include "core/timers.h"

namespace lemonroute {

/// Owns the classes behind a Router and connects them. Members are destroyed from the last to the first:
/// calls before the timers that they may use.
struct Router::Parts : EventHandler {
  /// Makes all classes. The arguments are those of Router's constructor; `router` owns this object.
  Parts(Router& router, Settings initial_settings, std::vector<std::string> zones,
        std::vector<std::string> kinds, std::uint64_t seed, const Clock& clock, NodeTransport& transport);

  /// Passes this on to the ActionExecutor, as do the next two.
  void before_event() override { actions.before_event(); }
  /// Passes the event on.
  void handle_event(const Event& event) override { actions.handle_event(event); }
  void after_last_event() override { actions.after_last_event(); }
  /// Lays overrides and fleet view over the endpoint list again and tells the Scheduler of changes.
  void reapply_overlays();
  /// Puts a request that was accepted to the Scheduler. `class_index` is its class's place in the settings.
  void schedule(RequestState& request, const ClientRequest& client_request, std::size_t class_index);

  Settings settings;             ///< the settings in force, without the router count of the fleet view
  Timers timers;                 ///< the timers of all classes
  RouterContext context;         ///< what all classes use
  Scheduler scheduler;           ///< makes all decisions
  RequestMetrics metrics;        ///< counts requests by class
  NodeRegistry nodes;            ///< the nodes that this router knows
  RequestTable requests;         ///< the open requests
  ReservationReleaser releaser;  ///< releases reservations at nodes
  EventDispatcher events;        ///< the queue of events
  ObserverReporter reporter;     ///< reports to the NodeObserver
  AttemptRunner attempts;        ///< runs attempts
  ActionExecutor actions;        ///< executes the Scheduler's actions
  StreamHandoff handoff;         ///< transfers and adopts streams
};

}  // namespace lemonroute
