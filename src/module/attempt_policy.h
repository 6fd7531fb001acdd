/// \file
/// The lifecycle of a request: its successive attempts, the reactions to their results and timeouts, and its
/// single answer (rules 1 to 3 of the platform). RequestTable holds the state. Used on the serving thread
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

/// The parts that AttemptPolicy uses. All references are valid as long as the Scheduler.
struct AttemptPolicyParts {
  NodeRegistry& nodes;                ///< finds an attempt's node and its role
  RequestTable& requests;             ///< holds all open requests
  Estimators& estimators;             ///< count arrivals and know the usual time to first token
  PrefillSelector& prefill_selector;  ///< chooses a node for the first stage
  DecodeSelector& decode_selector;    ///< chooses a node for the second stage
  AdmissionController& admission;     ///< sheds requests before their first attempt
  TenantQuota& quota;                 ///< checked once for each request
  ReservationTracker& reservations;   ///< cancels attempts and releases KV caches
  OutcomeRecorder& outcomes;          ///< receives each result
  AttemptStarter& starter;            ///< sends each attempt
};

/// Handles the events of requests.
class AttemptPolicy {
 public:
  /// Keeps the references, which must outlive it.
  AttemptPolicy(Context& context, const AttemptPolicyParts& parts) : context_(context), parts_(parts) {}

  /// Accepts a request: sends its first attempt, or rejects it.
  void handle(const Request& request);
  /// Records that an attempt has begun to stream, and cancels the request's other attempts.
  void handle(const FirstTokenReceived& event);
  /// Continues a request whose attempt has ended. If the request has ended, releases its resources instead.
  void handle(const AttemptCompleted& completed);
  /// Ends a request without an answer.
  void handle(const ClientDisconnected& event);
  /// Cancels the overdue attempt of the timer if another node would be faster; otherwise starts the timer
  /// again.
  void handle(const TimerFired& event);

 private:
  /// How a request that was not served is answered.
  enum class FailureAnswer {
    reject_if_not_run,  ///< "not served, may be sent again" if that is safe, else "failed"
    fail,               ///< "failed" in all cases
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
