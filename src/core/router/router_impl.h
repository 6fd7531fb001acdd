/// \file
/// The implementation of Router. Private to src/core.
#pragma once

#include <string>
#include <vector>

#include "core/request_metrics.h"
#include "core/router.h"
#include "core/router/action_executor.h"
#include "core/router/attempt_runner.h"
#include "core/router/client_ids.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/observer_reporter.h"
#include "core/router/process_handover.h"
#include "core/router/request_table.h"
#include "core/router/reservation_releaser.h"
#include "core/router/router_context.h"
#include "core/timers.h"

namespace lemonroute {

/// Owns and connects the objects that implement a Router, in the order of their dependencies. Members are
/// destroyed from the last to the first: calls before the timers that they may use.
struct Router::Impl : EventHandler {
  /// Creates all members. `router` owns this object; the other arguments are those of Router's constructor.
  Impl(Router& router, Settings initial_settings, std::vector<std::string> zones,
       std::vector<std::string> kinds, std::uint64_t seed, const Clock& clock, NodeTransport& transport);

  /// Forwards the call to the ActionExecutor.
  void before_event() override { actions.before_event(); }
  /// Forwards the event to the ActionExecutor.
  void handle_event(const Event& event) override { actions.handle_event(event); }
  /// Forwards the call to the ActionExecutor.
  void after_last_event() override { actions.after_last_event(); }
  /// Applies overrides and fleet view to the endpoint list again, and passes the changes to the Scheduler.
  void reapply_overlays();
  /// Passes an accepted request to the Scheduler. `class_index` is the index of its class in the settings.
  void schedule(RequestState& request, const ClientRequest& client_request, std::size_t class_index);
  /// Returns whether the process ends too soon for a request that arrives now.
  [[nodiscard]] bool is_shutting_down() const;

  Settings settings;  ///< the current settings, without the router count of the fleet view
  std::optional<Micros> acceptance_deadline;  ///< no request is accepted after it; none: no shutdown
  Timers timers;                              ///< the timers of all members
  RouterContext context;                      ///< what all members share
  Scheduler scheduler;                        ///< makes all decisions
  ClientIds client_ids;                       ///< the ids that clients gave the open requests
  RequestMetrics metrics;                     ///< counts requests by class
  NodeRegistry nodes;                         ///< the nodes that this router knows
  RequestTable requests;                      ///< the open requests
  ReservationReleaser releaser;               ///< releases reservations at nodes
  EventDispatcher events;                     ///< the queue of events
  ObserverReporter reporter;                  ///< reports to the NodeObserver
  AttemptRunner attempts;                     ///< runs attempts
  ActionExecutor actions;                     ///< executes the Scheduler's actions
  ProcessHandover handover;                   ///< transfers streams and state between processes
};

}  // namespace lemonroute
