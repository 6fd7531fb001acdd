#include "module/attempt_starter.h"

#include <algorithm>
#include <cstdint>

#include "estimation/conversions.h"
#include "lemonroute/actions.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// An attempt is overdue after its expected time multiplied by this.
constexpr double overdue_factor = 2.5;
// A prefill is not overdue before the time that it would take with an evicted prefix, multiplied by this.
constexpr double uncached_overdue_factor = 1.5;
// No attempt is overdue before the latency objective of its request divided by this.
constexpr double min_overdue_divisor = 3;

bool can_decode(const Node& node) {
  return node.role() != Role::prefill;
}

}  // namespace

bool AttemptStarter::is_allowed(const RequestState& request, const Node& node) const {
  if (request.ended || context_.now() >= request.deadline)  // rule 1: a single answer, before the deadline
    return false;
  if (!node.is_ready())  // rule 3: no new work for a draining node, even within its grace period
    return false;
  if (request.attempts.size() >= request.max_attempts)
    return false;
  const bool may_hedge =
      context_.settings().hedging_allowed && request.class_settings->idempotency == Idempotency::idempotent;
  if (request.outstanding_attempts() > 0 && !may_hedge)
    return false;
  if (can_decode(node) &&
      !filter_.may_repeat_at(node, request))  // rule 2: no request runs twice unless its class allows it
    return false;
  // rule 4: a node in slow start must not be overloaded
  return estimators_.slow_start.admits(node, estimators_.workload.estimated_work(request));
}

Attempt AttemptStarter::describe_attempt(const RequestState& request, const Node& node,
                                         const Selection& selection, double time_per_token,
                                         double expected_time) const {
  Attempt attempt{.endpoint = node.id(), .sent_at = context_.now(), .uncached_tokens = request.prompt_tokens};
  const bool fetches_kv_cache = request.has_reservation && can_decode(node);
  double uncached_time = 0;  // microseconds, if only the recorded tokens are still cached
  if (node.role() != Role::decode && !fetches_kv_cache) {
    attempt.stage = AttemptStage::prefill;
    attempt.queue_ahead = estimators_.prefill_times.queued_tokens(node, time_per_token);
    attempt.other_routers_queue = std::max(
        0.0, attempt.queue_ahead - estimators_.prefill_times.own_queued_tokens(node, time_per_token));
    attempt.expected_cached_tokens = selection.recorded_cached_tokens;
    attempt.uncached_tokens = std::max(0.0, request.prompt_tokens - selection.assumed_cached_tokens);
    uncached_time =
        selection.queue_wait + (request.prompt_tokens - attempt.expected_cached_tokens) * time_per_token;
  }
  // An evicted prefix makes a prefill many times longer although the node is healthy. If such prefills were
  // cancelled, other nodes would repeat them from the start, and the added work would delay all requests.
  const double minimum = std::max(request.latency_objective / min_overdue_divisor,
                                  to_microseconds(context_.settings().min_batch_interval));
  attempt.overdue_after =
      std::max({overdue_factor * expected_time, uncached_overdue_factor * uncached_time, minimum});
  return attempt;
}

void AttemptStarter::record_attempt(const RequestState& request, Node& node, const Attempt& attempt,
                                    double time_per_token) {
  estimators_.workload.record_attempt(request);
  const double work = estimators_.workload.mean_work_of_class(request);
  estimators_.slow_start.record_sent(node, work, request.prompt_tokens);
  if (attempt.stage != AttemptStage::prefill)
    return;
  estimators_.prefix_cache.record_cached_prefix(request, node.id());
  if (can_decode(node))
    estimators_.mixed_prefills.charge(node, attempt.uncached_tokens * time_per_token);
}

bool AttemptStarter::start_attempt(RequestState& request, const Selection& selection, double expected_time) {
  Node* const node = nodes_.find(selection.endpoint);
  if (!node || !is_allowed(request, *node))
    return false;
  // Read before the attempt is added, so that the attempt itself has no effect on the estimate.
  const double time_per_token = estimators_.prefill_times.prefill_time_per_token(*node);
  const Attempt attempt = describe_attempt(request, *node, selection, time_per_token, expected_time);
  const AttemptRef ref = requests_.add_attempt(request, *node, attempt);
  record_attempt(request, *node, attempt, time_per_token);
  context_.emit(Send{.id = request.request.id, .timeout = Micros(0), .endpoint = node->id()});
  start_overdue_timer(ref, attempt.overdue_after);
  return true;
}

void AttemptStarter::start_overdue_timer(const AttemptRef& attempt, double delay) {
  const std::uint32_t timer_id = requests_.register_timer(attempt);
  const double resolution = to_microseconds(context_.settings().min_batch_interval);
  context_.emit(StartTimer{timer_id, estimation::from_microseconds(std::max(delay, resolution))});
}

}  // namespace lemonroute::decisions
