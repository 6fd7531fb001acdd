// Slow start: how much may be sent to a cold node (rule 4).
#pragma once

#include "state.h"

namespace lemonroute::decisions {

constexpr double slow_start_used_share = 0.6;  // part of a cold node's allowance that is used at the most

inline bool in_slow_start(const SchedulerState& s, const NodeState& node) {
  return node.endpoint.started_at > Micros(0) && s.now - node.endpoint.started_at < s.settings.slow_start_duration;
}

// A cold node gets a part of what it could bear, were it as able as the warm nodes' load shows them to be at
// least, over the window and divided by the routers. One request in an empty window is let through, to warm
// it up; where a part is less than one, only by routers whose turn a hash says it is in this window, and of a
// router to which fewer than one request comes in a window, each request whose turn it is. A new process
// knows nothing of what was sent before it began: its first window counts as used.
inline bool admits_slow_start(const SchedulerState& s, NodeState& node, double work) {
  const auto& c = s.settings;
  const double sent = node.sent_work.sum(s.now, c.overload_window);
  if (!in_slow_start(s, node)) return true;
  const double share = s.now - s.first_event_at < c.overload_window ? 0 : slow_start_used_share * c.overload_factor * c.slow_start_initial_capacity;
  const double part = share * to_microseconds(c.overload_window) * s.pool_statistics(node.role).warm_node_work_rate;
  if (!node.sent_work.empty()) return sent + work <= part;
  const double comes = s.arrival_rate.value(s.now, s.memory_duration) * to_microseconds(c.overload_window);
  const double usual = s.usual_prompt_tokens.known ? std::min(work, s.usual_prompt_tokens.value) : work;
  const double least = usual / c.router_count;
  const bool few = comes < usual && part > least;
  const auto window = s.now / std::max(c.overload_window, c.min_batch_interval);
  const double turn = hash_to_unit_interval(hash64(node.endpoint.id ^ hash64(c.router_index ^ hash64(few ? s.now.count() : window))));
  return turn * (few ? comes * work / usual : work) <= std::max(part, least);
}

}  // namespace lemonroute::decisions
