// Outlier ejection: which nodes are left out because attempts fail there, and how late attempts there are.
#pragma once

#include "state.h"

namespace lemonroute::decisions {

constexpr double failure_weight = 0.4;  // of a failure in a node's failure share
constexpr double eject_at = 0.35;       // failure share from which a node is ejected

inline double failure_share(const State& s, const Node& node) {
  return node.failing * std::exp(-us(s.now - node.failing_at) / us(s.fade));
}

// Danger: a node that answers at once, with errors or no connection, looks idle and draws the traffic. It is
// left out while its failure share is high, and by the share's fading comes back for a request or two. Not
// more than half of a role's nodes are left out: if most fail, leaving them out would crush the rest.
inline bool ejected(const State& s, const Node& node) {
  return failure_share(s, node) >= eject_at && 2 * s.pool(node.role).ejected <= s.pool(node.role).nodes;
}

inline void note_outcome(State& s, Node& node, bool failed) {
  const double before = failure_share(s, node);
  node.failing = before + (failed ? failure_weight * (1 - before) : -learn * before);
  node.failing_at = s.now;
  if (before < eject_at && node.failing >= eject_at)
    s.act(Log{"host " + std::to_string(node.entry.host) + " set aside: attempts fail"});
}

// The longest that an attempt out there takes, against the time from which it is overdue.
inline double lateness(const State& s, const Node& node, bool prefill) {
  double most = 0;
  for (const auto& out : node.out)
    if (const auto& a = s.attempt(out); a.prefill == prefill && !a.started)
      most = std::max(most, us(s.now - a.sent) / a.timeout);
  return most;
}

}  // namespace lemonroute::decisions
