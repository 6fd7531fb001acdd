/// \file
/// Puts events to the Scheduler and carries out the actions that it answers with. Used on the serving thread
/// only.
#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>

#include "core/router/attempt_runner.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/observer_reporter.h"
#include "core/router/request_table.h"
#include "core/router/reservation_releaser.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// The actions that have no effect here. The Scheduler never asks for ReserveCapacity and EvictReservation,
/// whatever the settings allow. SendPeerMessage, Subscribe and Snapshot belong to the simulator's wire:
/// routers in service exchange datagrams on a thread of their own, and their watch of the endpoint list is
/// always open.
template <class Action>
concept UnusedAction = std::same_as<Action, EvictReservation> || std::same_as<Action, ReserveCapacity> ||
    std::same_as<Action, SendPeerMessage> || std::same_as<Action, Subscribe> ||
    std::same_as<Action, Snapshot>;

/// Hands each event to the Scheduler and executes its actions in their order. Owns the health checks under
/// way.
class ActionExecutor : public EventHandler {
 public:
  /// The classes that actions change. All of them outlive the ActionExecutor.
  struct Collaborators {
    Scheduler& scheduler;           ///< decides on the actions
    RequestTable& requests;         ///< the open requests
    NodeRegistry& nodes;            ///< the nodes that actions name
    ReservationReleaser& releaser;  ///< executes ReleaseReservation
    AttemptRunner& attempts;        ///< executes Send and CancelAttempt
    EventDispatcher& events;        ///< takes the events of timers and health checks
    ObserverReporter& reporter;     ///< hears of rejected requests
  };
  /// `context` outlives this object.
  ActionExecutor(const RouterContext& context, Collaborators collaborators);

  /// Tells the Scheduler first if the fleet view has expired.
  void before_event() override;
  /// Executes what the Scheduler decides on the event.
  void handle_event(const Event& event) override;
  /// Destroys the requests that have finished.
  void after_last_event() override;
  /// Lays overrides and fleet view over the endpoint list again. Returns the changes, for the Scheduler.
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
  NodeRegistry& nodes_;
  ReservationReleaser& releaser_;
  AttemptRunner& attempts_;
  EventDispatcher& events_;
  ObserverReporter& reporter_;
  std::map<std::uint64_t, std::unique_ptr<Call>> probes_;
  std::uint64_t next_probe_ = 0;
};

}  // namespace lemonroute
