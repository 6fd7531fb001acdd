/// \file
/// Passes events to the Scheduler and executes the actions that the Scheduler returns. Used on the serving
/// thread only.
#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>

#include "core/router/attempt_runner.h"
#include "core/router/client_ids.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/observer_reporter.h"
#include "core/router/request_table.h"
#include "core/router/reservation_releaser.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// The actions that the core ignores. The Scheduler never returns ReserveCapacity or EvictReservation,
/// whatever the settings allow. Only the simulator executes SendPeerMessage, WatchEndpointList and
/// FetchEndpointList: routers exchange datagrams with peers on a separate thread and always watch the
/// endpoint list.
template <class Action>
concept UnusedAction = std::same_as<Action, EvictReservation> || std::same_as<Action, ReserveCapacity> ||
    std::same_as<Action, SendPeerMessage> || std::same_as<Action, WatchEndpointList> ||
    std::same_as<Action, FetchEndpointList>;

/// Passes each event to the Scheduler and executes the resulting actions in order. Owns the health checks
/// that are in progress.
class ActionExecutor : public EventHandler {
 public:
  /// The objects that actions use. All of them must outlive the ActionExecutor.
  struct Dependencies {
    Scheduler& scheduler;           ///< decides on the actions
    RequestTable& requests;         ///< the open requests
    ClientIds& client_ids;          ///< the ids that clients gave them
    NodeRegistry& nodes;            ///< the nodes that actions name
    ReservationReleaser& releaser;  ///< executes ReleaseReservation
    AttemptRunner& attempts;        ///< executes Send and CancelAttempt
    EventDispatcher& events;        ///< receives the events of timers and health checks
    ObserverReporter& reporter;     ///< counts rejected requests
  };
  /// `context` must outlive this object.
  ActionExecutor(const RouterContext& context, Dependencies dependencies);

  /// Updates the Scheduler's endpoint list if an overlay of the fleet view has expired.
  void before_event() override;
  /// Passes the event to the Scheduler and executes the resulting actions.
  void handle_event(const Event& event) override;
  /// Destroys the requests that have finished.
  void after_last_event() override;
  /// Applies overrides and fleet view to the endpoint list again. Returns the changed entries, for the
  /// Scheduler.
  [[nodiscard]] EndpointListUpdate refresh_overlays();

 private:
  void decide(const Event& event);
  void execute(const Send& send);
  void execute(const RejectRequest& reject);
  void execute(const FailRequest& fail);
  void execute(const CancelAttempt& cancel);
  void execute(const StartTimer& timer);
  void execute(const Probe& probe);
  void execute(const CloseIdleConnections& close);
  void execute(const Log& log);
  void execute(const ReleaseReservation& release);
  template <UnusedAction Action>
  void execute(const Action&) {}

  const RouterContext& context_;
  Scheduler& scheduler_;
  RequestTable& requests_;
  ClientIds& client_ids_;
  NodeRegistry& nodes_;
  ReservationReleaser& releaser_;
  AttemptRunner& attempts_;
  EventDispatcher& events_;
  ObserverReporter& reporter_;
  std::map<std::uint64_t, std::unique_ptr<Call>> probes_;
  std::uint64_t next_probe_ = 0;
};

}  // namespace lemonroute
