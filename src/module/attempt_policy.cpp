#include "module/attempt_policy.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "estimation/conversions.h"
#include "lemonroute/actions.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// Attempts that a request needs for its two stages: one to prefill and one to decode.
constexpr std::size_t attempts_of_two_stages = 2;
// Until a time to first token is known, a decode node is expected to take the latency objective divided by
// this.
constexpr double unknown_first_token_divisor = 4;

// Returns whether an outcome proves that the request did not run: nothing was sent, the node did not admit
// it, or the attempt was a prefill.
bool has_not_run(Outcome outcome) {
  return outcome == Outcome::rejected_over_capacity || outcome == Outcome::not_applicable ||
         outcome == Outcome::connect_failed || outcome == Outcome::prefill_done;
}

// Returns whether a request that may have run may still be rejected with "not served, may be sent again".
bool may_run_twice_anywhere(const ClassSettings& terms) {
  switch (terms.idempotency) {
    case Idempotency::idempotent:
      return true;
    case Idempotency::idempotent_with_key:
      return terms.retry_scope == RetryScope::all;
    case Idempotency::not_idempotent:
      return false;
  }
  return false;
}

}  // namespace

void AttemptPolicy::describe_request(RequestState& state) const {
  const Request& request = state.request;
  state.class_settings = context_.active_settings().class_settings(request.class_index);
  state.max_attempts = context_.settings().max_attempts;
  state.prompt_tokens = estimation::clamp_reported_value(request.prompt_tokens);
  state.shared_prefix_tokens =
      std::min(state.prompt_tokens, estimation::clamp_reported_value(request.shared_prefix_tokens));
  state.deadline = context_.now() + request.time_budget;
  const ClassSettings& terms = *state.class_settings;
  state.latency_objective =
      to_microseconds(terms.latency_objective) +
      to_microseconds(terms.latency_objective_per_1000_tokens) * state.prompt_tokens / 1000;
  if ((request.flags & RequestFlag::has_expected_latency) != 0)
    state.latency_objective +=
        std::max(0.0, terms.objective_slack_factor) * to_microseconds(request.expected_latency);
}

void AttemptPolicy::handle(const Request& request) {
  RequestState& state = parts_.requests.open(request);
  describe_request(state);
  parts_.estimators.prefix_cache.record_arrival(state);
  parts_.estimators.workload.record_arrival(state);
  state.over_quota = parts_.quota.exceeds_quota(request.tenant_index);
  start_prefill(state);
  parts_.requests.erase_if_finished(request.id);
}

void AttemptPolicy::start_prefill(RequestState& request, EndpointId excluded) {
  std::optional<Selection> selection = parts_.prefill_selector.choose(request, excluded);
  if (!selection && excluded != 0)
    selection = parts_.prefill_selector.choose(request);
  if (request.attempts.empty() && selection && parts_.admission.should_shed(request, *selection)) {
    const double queue_wait = selection->queue_wait;
    selection = parts_.prefill_selector.choose_idle(request);
    if (!selection || parts_.admission.should_shed(request, *selection))
      return complete_request(request, FailureAnswer::reject_if_not_run, queue_wait);
  }
  if (request.has_reservation)
    parts_.reservations.release_reservation(request);
  // A prefill is useless unless another attempt is left for the decode.
  const bool is_mixed = selection && parts_.nodes.role_of(selection->endpoint) == Role::mixed;
  if (!is_mixed && request.attempts.size() + attempts_of_two_stages > request.max_attempts)
    return complete_request(request, FailureAnswer::reject_if_not_run);
  if (!selection)
    return complete_request(request, FailureAnswer::reject_if_not_run);
  const double expected_time = selection->queue_wait + selection->prefill_time +
                               to_microseconds(context_.settings().min_batch_interval);
  if (!parts_.starter.start_attempt(request, *selection, expected_time))
    complete_request(request, FailureAnswer::reject_if_not_run, selection->queue_wait);
}

void AttemptPolicy::start_decode(RequestState& request, EndpointId excluded) {
  const std::optional<Selection> selection = parts_.decode_selector.choose(request, excluded);
  const double usual_time = parts_.estimators.decode_loads.usual_time_to_first_token().value_or(
      request.latency_objective / unknown_first_token_divisor);
  const double expected_time = usual_time + to_microseconds(context_.settings().min_batch_interval);
  const bool started = selection && parts_.starter.start_attempt(request, *selection, expected_time);
  if (!started && request.outstanding_attempts() == 0)
    complete_request(request, FailureAnswer::reject_if_not_run);
}

void AttemptPolicy::handle(const FirstTokenReceived& event) {
  RequestState* const request = parts_.requests.find(event.id);
  if (!request || event.attempt >= request->attempts.size())
    return;
  Attempt& attempt = request->attempts[event.attempt];
  if (!attempt.outstanding || attempt.started)
    return;
  attempt.started = true;
  attempt.first_token_at = context_.now();
  parts_.reservations.record_no_reservation(*request);
  parts_.reservations.cancel_attempts(*request);  // slower hedged attempts
  if (Node* const node = parts_.nodes.find(attempt.endpoint))
    parts_.outcomes.record_first_result(*node, attempt, to_microseconds(event.elapsed));
}

void AttemptPolicy::handle(const AttemptCompleted& completed) {
  RequestState* const request = parts_.requests.find(completed.id);
  if (!request || completed.attempt >= request->attempts.size())
    return;
  Attempt& attempt = request->attempts[completed.attempt];
  if (!attempt.outstanding)
    return;
  attempt.outstanding = false;
  if (Node* const node = parts_.nodes.find(attempt.endpoint))
    parts_.outcomes.record_attempt_outcome(*request, attempt, *node, completed);
  update_after_outcome(*request, attempt.endpoint, completed);
  if (request->ended)
    parts_.reservations.release_resources(*request);
  else if (request->outstanding_attempts() == 0)
    retry_or_fail(*request, completed);
  parts_.requests.erase_if_finished(completed.id);
}

void AttemptPolicy::update_after_outcome(RequestState& request, EndpointId endpoint,
                                         const AttemptCompleted& completed) {
  const bool at_prefill_node = parts_.nodes.role_of(endpoint) == Role::prefill;
  const bool may_have_run = !has_not_run(completed.outcome) && !at_prefill_node;
  if (may_have_run && !request.first_executed_attempt)
    request.first_executed_attempt = completed.attempt;
  if (completed.outcome == Outcome::prefill_done)
    parts_.reservations.record_reservation(request, endpoint);
  else if (at_prefill_node)
    parts_.reservations.record_no_reservation(request);
  if (completed.request_finished)
    request.ended = true;
}

// Continues an unanswered request that has no outstanding attempt.
void AttemptPolicy::retry_or_fail(RequestState& request, const AttemptCompleted& completed) {
  if (completed.outcome == Outcome::prefill_done)
    return start_decode(request);
  if (context_.now() >= request.deadline || completed.outcome == Outcome::not_applicable)
    return complete_request(request, FailureAnswer::fail);
  // A request that is not idempotent and may have run must fail: neither this router nor its client may
  // repeat it.
  if (request.class_settings->idempotency == Idempotency::not_idempotent && request.first_executed_attempt)
    return complete_request(request, FailureAnswer::fail);
  const bool cache_was_lost =
      completed.outcome == Outcome::rejected_over_capacity && completed.cached_tokens == reservation_lost;
  if (request.has_reservation && !cache_was_lost)
    return start_decode(request, completed.endpoint);
  // A node that stops responding but has most of the prompt cached keeps the lowest score. It is excluded, so
  // that the request does not spend all its attempts there.
  start_prefill(request, completed.outcome == Outcome::cancelled ? completed.endpoint : 0);
}

void AttemptPolicy::handle(const ClientDisconnected& event) {
  RequestState* const request = parts_.requests.find(event.id);
  if (!request)
    return;
  request->ended = true;
  parts_.reservations.release_resources(*request);
  parts_.requests.erase_if_finished(event.id);
}

void AttemptPolicy::handle(const TimerFired& event) {
  const std::optional<AttemptRef> ref = parts_.requests.take_timer(event.timer_id);
  RequestState* const request = ref ? parts_.requests.find(ref->request) : nullptr;
  if (!request || request->ended)
    return;
  const Attempt& attempt = request->attempts[ref->attempt];
  const bool is_latest = ref->attempt + 1u == request->attempts.size();
  if (!attempt.outstanding || attempt.started || attempt.cancelled || !is_latest)
    return;
  if (may_start_over(*request, attempt) && should_cancel_overdue(*request, attempt))
    return parts_.reservations.cancel_attempt(*request, ref->attempt);
  parts_.starter.start_overdue_timer(*ref, to_microseconds(context_.now() - attempt.sent_at));
}

// Returns whether a request may be sent elsewhere after its outstanding attempt is cancelled: cancellation is
// allowed, the request cannot run twice against its idempotency, and enough attempts are left for both
// stages, or for the decode if the prefill is done.
bool AttemptPolicy::may_start_over(const RequestState& request, const Attempt& attempt) const {
  const std::size_t attempts_needed = request.has_reservation ? 1 : attempts_of_two_stages;
  const bool may_repeat = parts_.nodes.role_of(attempt.endpoint) == Role::prefill ||
                          request.class_settings->idempotency == Idempotency::idempotent;
  return context_.settings().cancellation_allowed && may_repeat &&
         request.attempts.size() + attempts_needed <= request.max_attempts;
}

// Returns whether another node would respond in less time than the overdue attempt has taken so far, and
// before the deadline. The node of the attempt is then very slow or unreachable. Where all nodes are slow, no
// other node would be faster, and the attempt may finish.
bool AttemptPolicy::should_cancel_overdue(const RequestState& request, const Attempt& attempt) {
  const double elapsed = to_microseconds(context_.now() - attempt.sent_at);
  const double remaining = to_microseconds(request.deadline - context_.now());
  std::optional<Selection> other;
  double time_elsewhere = 0;  // microseconds
  if (request.has_reservation) {
    other = parts_.decode_selector.choose(request, attempt.endpoint);
    time_elsewhere = parts_.estimators.decode_loads.usual_time_to_first_token().value_or(elapsed);
  } else {
    other = parts_.prefill_selector.choose(request, attempt.endpoint);
    time_elsewhere = other ? other->score : 0;
  }
  return other && time_elsewhere < elapsed && remaining > time_elsewhere;
}

// Rejects or fails a request; no other function does. Answers a request at most once, rejects it only if it
// may be sent again, and releases its resources (rules 1, 2 and 5 of the platform).
void AttemptPolicy::complete_request(RequestState& request, FailureAnswer answer, double queue_wait) {
  if (request.ended)
    return;
  request.ended = true;
  const bool can_have_run = request.first_executed_attempt || request.outstanding_attempts() > 0;
  const bool may_reject = may_run_twice_anywhere(*request.class_settings) || !can_have_run;
  if (answer == FailureAnswer::reject_if_not_run && may_reject)
    context_.emit(RejectRequest{request.request.id, parts_.admission.retry_after(queue_wait)});
  else
    context_.emit(FailRequest{request.request.id});
  parts_.reservations.release_resources(request);
}

}  // namespace lemonroute::decisions
