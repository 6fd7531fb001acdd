/// \file
/// The parts of one Scheduler: owns them and hands each event to the part that it concerns. Used on the
/// serving thread only.
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

/// All parts of one Scheduler, in the order of their dependencies. They refer to each other, so a core stays
/// where it was made.
struct SchedulerCore {
  /// Has default settings and no nodes; see Scheduler::update_settings.
  SchedulerCore() = default;
  /// Neither copied nor moved, since the parts refer to each other.
  SchedulerCore(const SchedulerCore&) = delete;
  /// See the copy constructor.
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  /// Handles one event and appends the actions that follow from it to `actions`.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  Context context;                                  ///< clock, settings, actions, and observer of choices
  NodeRegistry nodes{context};                      ///< all nodes on record
  RequestTable requests;                            ///< all open requests
  Estimators estimators{context, nodes, requests};  ///< what is known of nodes and requests
  PoolStatistics pools{estimators};                 ///< when averages over nodes are computed anew
  ChoiceExplainer explainer{context, estimators};   ///< tells the observer of choices
  EndpointFilter filter{context, nodes, estimators, explainer};  ///< which nodes may be chosen
  /// Chooses for the first stage.
  PrefillSelector prefill_selector{context, estimators, pools, filter, explainer};
  /// Chooses for the second stage.
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
