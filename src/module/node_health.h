// Outlier ejection: which nodes are left out because attempts fail there, and how late attempts there are.
#pragma once

#include "state.h"

namespace lemonroute::decisions {

constexpr double failure_sample_weight = 0.4;  // of a failure in a node's failure share
constexpr double ejection_threshold = 0.35;       // failure share from which a node is ejected

inline double failure_ratio(const SchedulerState& s, const NodeState& node) {
  return node.failure_ratio * std::exp(-to_microseconds(s.now - node.failure_ratio_at) / to_microseconds(s.memory_duration));
}

// Danger: a node that answers at once, with errors or no connection, looks idle and draws the traffic. It is
// left out while its failure share is high, and by the share's fading comes back for a request or two. Not
// more than half of a role's nodes are left out: if most fail, leaving them out would crush the rest.
inline bool is_ejected(const SchedulerState& s, const NodeState& node) {
  return failure_ratio(s, node) >= ejection_threshold && 2 * s.pool_statistics(node.role).ejected_nodes <= s.pool_statistics(node.role).ready_nodes;
}

inline void record_outcome(SchedulerState& s, NodeState& node, bool failed) {
  const double before = failure_ratio(s, node);
  node.failure_ratio = before + (failed ? failure_sample_weight * (1 - before) : -usual_sample_weight * before);
  node.failure_ratio_at = s.now;
  if (before < ejection_threshold && node.failure_ratio >= ejection_threshold)
    s.emit(Log{"host " + std::to_string(node.endpoint.id) + " set aside: attempts fail"});
}

// The longest that an attempt out there takes, against the time from which it is overdue.
inline double overdue_ratio(const SchedulerState& s, const NodeState& node, bool prefill) {
  double most = 0;
  for (const auto& out : node.outstanding)
    if (const auto& a = s.attempt(out); a.prefill == prefill && !a.started)
      most = std::max(most, to_microseconds(s.now - a.sent_at) / a.overdue_after);
  return most;
}

}  // namespace lemonroute::decisions
