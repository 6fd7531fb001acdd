// The choice of the decode node: near the state, among the least loaded.
#pragma once

#include "eligibility.h"

namespace lemonroute::decisions {

inline Pick choose_decode(State& s, const Job& job, HostId avoid = 0) {
  survey(s);
  const Node* from = lookup(s.nodes, job.state_at);
  Pick best;
  double least = best.score;
  const auto weigh = [&](const Node& node, Pick& pick) -> const char* {
    pick.score = load(s, node) * slowness(s, node) + failure_share(s, node) + (job.tried(pick.host) ? 1 : 0) +
                 unsure(job, node, node.others.trust(s.now, s.fade));
    if (from && node.entry.zone == from->entry.zone) pick.near = node.entry.cell == from->entry.cell ? 2 : 1;
    least = std::min(least, pick.score);
    return nullptr;
  };
  const auto all = candidates(s, job, Role::write, avoid, weigh);
  const double margin = std::clamp(full_at - least, 0.0, near_margin);  // nearness must not overfill
  for (const auto& pick : all)
    if (pick.score <= least + margin && std::pair(-pick.near, pick.score) < std::pair(-best.near, best.score))
      best = pick;
  return choose(s, best);
}

}  // namespace lemonroute::decisions
