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
  SchedulerCore() = default;
  SchedulerCore(const SchedulerCore&) = delete;
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  /// Handles one event and appends the actions that follow from it to `actions`.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  Context context;
  NodeRegistry nodes{context};
  RequestTable requests;
  Estimators estimators{context, nodes, requests};
  PoolStatistics pools{estimators};
  ChoiceExplainer explainer{context, estimators};
  EndpointFilter filter{context, nodes, estimators, explainer};
  PrefillSelector prefill_selector{context, estimators, pools, filter, explainer};
  DecodeSelector decode_selector{nodes, estimators, pools, filter, explainer};
  AdmissionController admission{context, nodes, requests, estimators};
  TenantQuota quota{context};
  ReservationTracker reservations{context};
  OutcomeRecorder outcomes{context, requests, estimators};
  AttemptStarter starter{context, nodes, requests, estimators, filter};
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
