// Slow start: how much may be sent to a cold node (rule 4).
#pragma once

#include "state.h"

namespace lemonroute::decisions {

constexpr double cold_share = 0.6;  // part of a cold node's allowance that is used at the most

inline bool cold(const State& s, const Node& node) {
  return node.entry.started > Micros(0) && s.now - node.entry.started < s.settings.cold_for;
}

// A cold node gets a part of what it could bear, were it as able as the warm nodes' load shows them to be at
// least, over the window and divided by the routers. One request in an empty window is let through, to warm
// it up; where a part is less than one, only by routers whose turn a hash says it is in this window, and of a
// router to which fewer than one request comes in a window, each request whose turn it is. A new process
// knows nothing of what was sent before it began: its first window counts as used.
inline bool admits_slow_start(const State& s, Node& node, double work) {
  const auto& c = s.settings;
  const double sent = node.sent.sum(s.now, c.fall_window);
  if (!cold(s, node)) return true;
  const double share = s.now - s.since < c.fall_window ? 0 : cold_share * c.fall_multiple * c.cold_from;
  const double part = share * us(c.fall_window) * s.pool(node.role).warm_work;
  if (!node.sent.empty()) return sent + work <= part;
  const double comes = s.arrivals.value(s.now, s.fade) * us(c.fall_window);
  const double usual = s.usual_prompt.known ? std::min(work, s.usual_prompt.value) : work;
  const double least = usual / c.siblings;
  const bool few = comes < usual && part > least;
  const auto window = s.now / std::max(c.fall_window, c.tick);
  const double turn = unit(mix(node.entry.host ^ mix(c.me ^ mix(few ? s.now.count() : window))));
  return turn * (few ? comes * work / usual : work) <= std::max(part, least);
}

}  // namespace lemonroute::decisions
