/// \file
/// Owns the parts of one Scheduler and dispatches each event to the responsible part. Used on the serving
/// thread only.
#pragma once

#include <vector>

#include "lemonroute/actions.h"
#include "lemonroute/events.h"
#include "module/admission_controller.h"
#include "module/attempt_policy.h"
#include "module/attempt_starter.h"
#include "module/choice_explainer.h"
#include "module/context.h"
#include "module/decode_selector.h"
#include "module/endpoint_filter.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/outcome_recorder.h"
#include "module/pool_statistics.h"
#include "module/prefill_selector.h"
#include "module/request_table.h"
#include "module/reservation_tracker.h"
#include "module/tenant_quota.h"

namespace lemonroute::decisions {

/// All parts of one Scheduler, in the order of their dependencies.
struct SchedulerCore {
  /// Starts with default settings and no nodes; see Scheduler::update_settings.
  SchedulerCore() = default;
  /// Not copyable or movable, because the parts refer to each other.
  SchedulerCore(const SchedulerCore&) = delete;
  /// See the copy constructor.
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  /// Handles one event and appends the actions that follow from it to `actions`.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  Context context;                                  ///< clock, settings, actions and choice observer
  NodeRegistry nodes{context};                      ///< records of all nodes
  RequestTable requests;                            ///< all open requests
  Estimators estimators{context, nodes, requests};  ///< estimates of the state of nodes and requests
  PoolStatistics pools{estimators};                 ///< refreshes averages over nodes
  ChoiceExplainer explainer{context, estimators};   ///< reports to the choice observer
  EndpointFilter filter{context, nodes, estimators, explainer};  ///< decides which nodes are eligible
  /// Chooses a node for the first stage.
  PrefillSelector prefill_selector{context, estimators, pools, filter, explainer};
  /// Chooses a node for the second stage.
  DecodeSelector decode_selector{nodes, estimators, pools, filter, explainer};
  /// Sheds requests before their first attempt.
  AdmissionController admission{context, nodes, requests, estimators};
  TenantQuota quota{context};                ///< lowers the priority of requests over their quota
  ReservationTracker reservations{context};  ///< cancels attempts and releases KV caches
  OutcomeRecorder outcomes{context, requests, estimators};  ///< passes results to the estimators
  /// Sends attempts.
  AttemptStarter starter{context, nodes, requests, estimators, filter};
  /// Handles the events of requests.
  AttemptPolicy attempts{context,
                         {nodes, requests, estimators, prefill_selector, decode_selector, admission, quota,
                          reservations, outcomes, starter}};

 private:
  void dispatch(const EndpointListUpdate& update);
  void dispatch(const Request& request);
  void dispatch(const FirstTokenReceived& event);
  void dispatch(const ReservationUpdate& update);
  void dispatch(const AttemptCompleted& completed);
  void dispatch(const ClientDisconnected& event);
  void dispatch(const TimerFired& event);
  void dispatch(const HealthResult& result);
  void dispatch(const PeerMessage& message);
  void dispatch(const CacheInvalidated& event);
};

}  // namespace lemonroute::decisions
