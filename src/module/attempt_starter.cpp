#include "module/attempt_starter.h"

#include <algorithm>
#include <cstdint>

#include "estimation/conversions.h"
#include "lemonroute/actions.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// An attempt is overdue after this many times its expected time.
constexpr double overdue_factor = 2.5;
// A prefill is not overdue before this many times the time that it takes if its prefix was evicted.
constexpr double uncached_overdue_factor = 1.5;
// No attempt is overdue before its request's latency objective divided by this.
constexpr double min_overdue_divisor = 3;

bool answers(const Node& node) {
  return node.role() != Role::prefill;
}

}  // namespace

bool AttemptStarter::is_allowed(const RequestState& request, const Node& node) const {
  if (request.ended || context_.now() >= request.deadline)  // rule 1: one answer, in time
    return false;
  if (!node.is_ready())  // rule 3: no new work for a node that drains; its grace period is not used
    return false;
  if (request.attempts.size() >= request.max_attempts)
    return false;
  const bool may_hedge =
      context_.settings().hedging_allowed && request.class_settings->idempotency == Idempotency::idempotent;
  if (request.outstanding_attempts() > 0 && !may_hedge)
    return false;
  if (answers(node) && !filter_.may_repeat_at(node, request))  // rule 2: nothing runs twice unless it may
    return false;
  // rule 4: a node in slow start is not overloaded
  return estimators_.slow_start.admits(node, estimators_.workload.estimated_work(request));
}

Attempt AttemptStarter::describe_attempt(const RequestState& request, const Node& node,
                                         const Selection& selection, double prefill_rate,
                                         double expected_time) const {
  Attempt attempt{.endpoint = node.id(), .sent_at = context_.now(), .uncached_tokens = request.prompt_tokens};
  const bool fetches_kv_cache = request.has_reservation && answers(node);
  double uncached_time = 0;  // microseconds that a prefill takes if nothing is cached any more
  if (node.role() != Role::decode && !fetches_kv_cache) {
    attempt.stage = AttemptStage::prefill;
    attempt.queue_ahead = estimators_.prefill_times.queued_tokens(node, prefill_rate);
    attempt.other_routers_queue =
        std::max(0.0, attempt.queue_ahead - estimators_.prefill_times.own_queued_tokens(node, prefill_rate));
    attempt.expected_cached_tokens = selection.recorded_match;
    attempt.uncached_tokens = std::max(0.0, request.prompt_tokens - selection.assumed_match);
    uncached_time =
        selection.queue_wait + (request.prompt_tokens - attempt.expected_cached_tokens) * prefill_rate;
  }
  // A prefix that the node has evicted makes a prefill many times longer, which does not mean that the node
  // is faulty. If such prefills were cancelled, other nodes would repeat them from the start, and the added
  // work would make all requests late.
  const double minimum = std::max(request.latency_objective / min_overdue_divisor,
                                  to_microseconds(context_.settings().min_batch_interval));
  attempt.overdue_after =
      std::max({overdue_factor * expected_time, uncached_overdue_factor * uncached_time, minimum});
  return attempt;
}

void AttemptStarter::record_attempt(const RequestState& request, Node& node, const Attempt& attempt,
                                    double prefill_rate) {
  estimators_.workload.record_attempt(request);
  const double work = estimators_.workload.mean_work_of_class(request);
  estimators_.slow_start.record_sent(node, work, request.prompt_tokens);
  if (attempt.stage != AttemptStage::prefill)
    return;
  estimators_.prefix_cache.record_cached_prefix(request, node.id());
  if (answers(node))
    estimators_.mixed_prefills.charge(node, attempt.uncached_tokens * prefill_rate);
}

bool AttemptStarter::start_attempt(RequestState& request, const Selection& selection, double expected_time) {
  Node* const node = nodes_.find(selection.endpoint);
  if (!node || !is_allowed(request, *node))
    return false;
  // The rate before the attempt: the attempt itself is not overdue yet.
  const double prefill_rate = estimators_.prefill_times.prefill_rate(*node);
  const Attempt attempt = describe_attempt(request, *node, selection, prefill_rate, expected_time);
  const AttemptRef ref = requests_.add_attempt(request, *node, attempt);
  record_attempt(request, *node, attempt, prefill_rate);
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
