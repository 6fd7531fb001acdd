// Which nodes may be chosen at all, and what is told of a choice to whoever asked for explanations.
#pragma once

#include "pool_norms.h"
#include "prefix_cache.h"

namespace lemonroute::decisions {

struct Selection {
  EndpointId endpoint = 0;
  double queue_wait = 0, prefill_time = 0, score = 1e18, assumed_match = 0, recorded_match = 0;
  bool found = false;
  int proximity = 0;  // to the prefill node: 1 in its zone, 2 in its cell
};

// Rule 2, for a node that would answer.
inline bool may_repeat_at(const SchedulerState& s, const RequestState& job, const NodeState& node) {
  if (!job.first_executed_attempt) return true;
  const auto& first = job.attempts[*job.first_executed_attempt];
  const auto& c = *job.class_settings;
  if (c.idempotency == Idempotency::idempotent) return true;
  if (c.idempotency == Idempotency::not_idempotent) return false;
  if (s.now - first.sent_at >= c.retry_window) return false;
  const NodeState* ran_at = lookup(s.nodes, first.endpoint);
  if (c.retry_scope == RetryScope::all || !ran_at) return c.retry_scope == RetryScope::all;
  return c.retry_scope == RetryScope::zone ? ran_at->endpoint.zone == node.endpoint.zone
                                : ran_at->endpoint.cell == node.endpoint.cell;
}

// Danger: many routers that know as little choose the same node. Among near equals it differs by request.
inline double uncertainty_penalty(const RequestState& job, const NodeState& node, double trust) {
  return (1 - trust) * load_tolerance * hash_to_unit_interval(hash64(job.request.id ^ hash64(node.endpoint.id)));
}

// Why a node can't be chosen now, in the words of an explanation; nothing if it can.
inline const char* exclusion_reason(SchedulerState& s, const RequestState& job, NodeState& node, Role stage, EndpointId avoid) {
  if (!node.is_ready()) return "not ready in the list";
  if (is_ejected(s, node)) return "set aside, attempts fail there";
  if (node.role == (stage == Role::prefill ? Role::decode : Role::prefill)) return "of the other role";
  if (node.endpoint.id == avoid) return "the attempt before was there";
  const bool answers = stage == Role::decode || node.role == Role::mixed;
  if (answers && !may_repeat_at(s, job, node)) return "may not do what may have run";
  // By the send's own figure: what passes here and fails there is refused, where another node would do.
  return admits_slow_start(s, node, s.estimated_work(job)) ? nullptr : "cold, its part is used up";
}

// The nodes that may be chosen, weighed: `weigh` fills in a pick, or returns what speaks against that node.
template <class Weigh>
std::vector<Selection> eligible_endpoints(SchedulerState& s, const RequestState& job, Role stage, EndpointId avoid, const Weigh& weigh) {
  std::vector<Selection> fit;
  s.choice = Choice{.id = job.request.id, .at = s.now, .stage = stage, .excluded = avoid};
  for (auto& [id, node] : s.nodes) {
    Selection pick{.endpoint = id, .found = true};
    const char* no = exclusion_reason(s, job, node, stage, avoid);
    if (!no) no = weigh(node, pick);
    if (!no) fit.push_back(pick);
    if (!s.choice_observer) continue;
    if (no) pick = Selection{.score = 0};
    const double match = stage == Role::prefill ? prefix_match(s, node, job) : 0, rate = prefill_rate(s, node);
    s.choice.candidates.push_back({.endpoint = id,
                                   .exclusion_reason = no,
                                   .recorded_match = match,
                                   .assumed_match = pick.assumed_match,
                                   .prefill_rate = rate,
                                   .queued_tokens = queued_tokens(s, node, rate),
                                   .load = load(s, node),
                                   .latency_ratio = latency_ratio(s, node),
                                   .failure_ratio = failure_ratio(s, node),
                                   .queue_wait = from_microseconds(pick.queue_wait),
                                   .prefill_time = from_microseconds(pick.prefill_time),
                                   .proximity = pick.proximity,
                                   .score = pick.score});
  }
  return fit;
}
inline Selection report_choice(SchedulerState& s, const Selection& best) {
  s.choice.chosen = best.endpoint;
  if (s.choice_observer) s.choice_observer(s.choice);
  return best;
}

}  // namespace lemonroute::decisions
