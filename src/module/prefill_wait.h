// How fast a node does a prefill, and how long a prompt would wait there.
#pragma once

#include "node_health.h"

namespace lemonroute::decisions {

constexpr double max_mixed_prefill_share = 0.75;  // part of its time a mixed node may prefill, for its answers' sake

// Microseconds a token. An unheard node counts as average, and by and by one not heard lately: an avoided
// crawling node is tried again. A prefill out longer than its estimate shows slowness before it ends.
inline double prefill_rate(const SchedulerState& s, const NodeState& node) {
  const double trust = node.prefill_rate.confidence(s.now, s.memory_duration), usual = s.pool_statistics(node.role).prefill_rate;
  return std::max(trust * node.prefill_rate.value + (1 - trust) * usual, usual * overdue_ratio(s, node, true));
}

// Tokens of prompt that wait at the node: this router's, and with the others'.
inline double own_queued_tokens(const SchedulerState& s, const NodeState& node, double rate) {
  double sum = 0;
  const Attempt* head = nullptr;
  for (const auto& out : node.outstanding) {
    const auto& a = s.attempt(out);
    if (!a.prefill || a.started) continue;
    if (!head) head = &a;
    sum += a.uncached_tokens;
  }
  if (!head) return 0;
  return sum - std::min(head->uncached_tokens, to_microseconds(s.now - std::max(node.last_prefill_done, head->sent_at)) / rate);
}
inline double queued_tokens(const SchedulerState& s, const NodeState& node, double rate) {
  const double fresh = node.other_routers_queued_tokens.freshness(s.now, s.memory_duration / 4), usual = s.pool_statistics(node.role).other_routers_queued_tokens;
  return own_queued_tokens(s, node, rate) + fresh * node.other_routers_queued_tokens.value + (1 - fresh) * usual;
}

// Danger: a mixed node in prefill all the time, whose running answers then miss their token aim. Its prefills
// are queued as if it did them only part of the time, less what the other routers are taken to do there:
// as much each as this one does at a mixed node in the mean.
inline double mixed_prefill_share(const SchedulerState& s) {  // part of the time, over all mixed nodes
  return s.mixed_prefill_work * std::exp(-to_microseconds(s.now - s.mixed_prefill_work_at) / to_microseconds(s.memory_duration)) / to_microseconds(s.memory_duration);
}
inline double own_mixed_prefill_share(const SchedulerState& s) {  // part of a mixed node's time that is this router's for it
  const double rest = (s.settings.router_count - 1) * mixed_prefill_share(s) / std::max(1.0, s.pool_statistics(Role::mixed).ready_nodes);
  return std::max(max_mixed_prefill_share / s.settings.router_count, max_mixed_prefill_share - rest);
}
inline double mixed_prefill_backlog(const SchedulerState& s, const NodeState& node) {
  return std::max(0.0, node.mixed_prefill_backlog / own_mixed_prefill_share(s) - to_microseconds(s.now - node.mixed_prefill_backlog_at));
}
inline void charge_mixed_prefill(SchedulerState& s, NodeState& node, double work) {
  node.mixed_prefill_backlog = mixed_prefill_backlog(s, node) * own_mixed_prefill_share(s) + work;
  node.mixed_prefill_backlog_at = s.now;
  s.mixed_prefill_work = mixed_prefill_share(s) * to_microseconds(s.memory_duration) + work;
  s.mixed_prefill_work_at = s.now;
}

inline double prefill_wait(const SchedulerState& s, const NodeState& node) {
  const double rate = prefill_rate(s, node), queue = queued_tokens(s, node, rate) * rate;
  return node.role == Role::mixed ? std::max(queue, mixed_prefill_backlog(s, node)) : queue;
}

inline void record_prefill_time(SchedulerState& s, NodeState& node, const Attempt& a, double elapsed) {
  const double step = s.usual_prompt_tokens.value / 32;  // the shortest prefill takes a step
  const bool told = s.settings.report_x1_is_queued_tokens && s.report_column_index.count("x1");
  if (a.uncached_tokens < 1) return;
  const double tokens = a.queue_ahead + a.uncached_tokens + step - (told ? 0 : a.other_routers_queue);
  const double sample = elapsed / tokens,
               weight = std::min(1.0, a.uncached_tokens / std::max(1.0, s.usual_prompt_tokens.value / 2));
  estimation::RunningMedian& of_role = s.prefill_rate_by_role[node.role];
  if (of_role.has_few_samples() || weight > usual_sample_weight) of_role.add(sample);
  const double usual = of_role.value();
  s.last_prefill_rate.add(usual, s.now, 1);
  if (!told) s.unreported_queued_tokens[node.role].add(elapsed / usual - tokens, s.now, usual_sample_weight);
  node.prefill_rate.add(std::min(sample, 4 * usual), s.now, usual_sample_weight * weight, weight);
  node.last_prefill_done = s.now;
}

}  // namespace lemonroute::decisions
