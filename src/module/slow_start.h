// Slow start: how much may be sent to a cold node (rule 4).
#pragma once

#include "state.h"

namespace lemonroute::decisions {

constexpr double cold_share = 0.5;  // part of a cold node's allowance that is used at the most

inline bool cold(const State& s, const Node& node) {
  return node.entry.started > Micros(0) && s.now - node.entry.started < s.settings.cold_for;
}

// A cold node gets a part of what it could bear, were it as able as the warm nodes' load shows them to be at
// least, over the window and divided by the routers. One request in an empty window is let through, to
// warm it up; where a part is less than one, only by routers whose turn a hash says it is in this window.
inline bool admits_slow_start(const State& s, Node& node, double work) {
  const auto& c = s.settings;
  while (!node.sent.empty() && s.now - node.sent.front().first > c.fall_window) node.sent.pop_front();
  if (!cold(s, node)) return true;
  const double part =
      cold_share * c.fall_multiple * c.cold_from * us(c.fall_window) * s.pool(node.role).warm_work;
  if (node.sent.empty()) {
    const auto window = static_cast<std::uint64_t>(s.now / std::max(c.fall_window, c.tick));
    const double turn = unit(mix(node.entry.host ^ mix(c.me ^ mix(window))));
    return turn * std::max(work, 1.0) <= std::max(part, work / c.siblings);
  }
  double sum = work;
  for (const auto& [at, amount] : node.sent) sum += amount;
  return sum <= part;
}

}  // namespace lemonroute::decisions
