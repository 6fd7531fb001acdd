/// \file
/// The life of a request: its attempts, one after another, what follows from their results and time-outs, and
/// its one answer (rules 1 to 3 of the platform). The state is in RequestTable. Used on the serving thread
/// only.
#pragma once

#include "lemonroute/events.h"
#include "module/admission_controller.h"
#include "module/attempt_starter.h"
#include "module/context.h"
#include "module/decode_selector.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/outcome_recorder.h"
#include "module/prefill_selector.h"
#include "module/request_table.h"
#include "module/reservation_tracker.h"
#include "module/tenant_quota.h"

namespace lemonroute::decisions {

/// The parts that AttemptPolicy drives. All references live as long as the Scheduler.
struct AttemptPolicyParts {
  NodeRegistry& nodes;                ///< finds an attempt's node and its role
  RequestTable& requests;             ///< holds all open requests
  Estimators& estimators;             ///< counts arrivals, and knows the usual time to first token
  PrefillSelector& prefill_selector;  ///< chooses for the first stage
  DecodeSelector& decode_selector;    ///< chooses for the second stage
  AdmissionController& admission;     ///< sheds requests before their first attempt
  TenantQuota& quota;                 ///< asked once for each request
  ReservationTracker& reservations;   ///< cancels attempts and releases KV caches
  OutcomeRecorder& outcomes;          ///< told of each result
  AttemptStarter& starter;            ///< sends each attempt
};

/// Handles the events of requests.
class AttemptPolicy {
 public:
  /// Keeps the references, which must outlive it.
  AttemptPolicy(Context& context, const AttemptPolicyParts& parts) : context_(context), parts_(parts) {}

  /// Takes a request: sends its first attempt, or rejects it.
  void handle(const Request& request);
  /// Notes that an attempt streams, and cancels the request's other attempts.
  void handle(const FirstTokenReceived& event);
  /// Continues a request whose attempt has ended, or, if the request has ended, releases what it holds.
  void handle(const AttemptCompleted& completed);
  /// Ends a request without an answer.
  void handle(const ClientDisconnected& event);
  /// Cancels the attempt that the timer was set for, if it is overdue and another node would be sooner.
  void handle(const TimerFired& event);

 private:
  /// How a request that was not served is answered.
  enum class FailureAnswer {
    reject_if_not_run,  ///< "not served, may be sent again", provided that it can't have run
    fail,               ///< "failed", whether it can have run or not
  };

  void describe_request(RequestState& state) const;
  void start_prefill(RequestState& request, EndpointId excluded = 0);
  void start_decode(RequestState& request, EndpointId excluded = 0);
  void retry_or_fail(RequestState& request, const AttemptCompleted& completed);
  void update_after_outcome(RequestState& request, EndpointId endpoint, const AttemptCompleted& completed);
  [[nodiscard]] bool should_cancel_overdue(const RequestState& request, const Attempt& attempt);
  [[nodiscard]] bool may_start_over(const RequestState& request, const Attempt& attempt) const;
  void complete_request(RequestState& request, FailureAnswer answer, double queue_wait = 0);

  Context& context_;
  AttemptPolicyParts parts_;
};

}  // namespace lemonroute::decisions
