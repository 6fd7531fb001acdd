// The choice of the decode node: near the state, among the least loaded.
#pragma once

#include "eligibility.h"

namespace lemonroute::decisions {

inline Selection choose_decode(SchedulerState& s, const RequestState& job, EndpointId avoid = 0) {
  refresh_pool_statistics(s);
  const NodeState* from = lookup(s.nodes, job.reservation_endpoint);
  Selection best;
  double least = best.score;
  const auto weigh = [&](const NodeState& node, Selection& pick) -> const char* {
    pick.score = load(s, node) * latency_ratio(s, node) + failure_ratio(s, node) + (job.was_sent_to(pick.endpoint) ? 1 : 0) +
                 uncertainty_penalty(job, node, node.other_routers_load.confidence(s.now, s.memory_duration));
    if (from && node.endpoint.zone == from->endpoint.zone) pick.proximity = node.endpoint.cell == from->endpoint.cell ? 2 : 1;
    least = std::min(least, pick.score);
    return nullptr;
  };
  const auto all = eligible_endpoints(s, job, Role::decode, avoid, weigh);
  const double margin = std::clamp(full_load - least, 0.0, load_tolerance);  // nearness must not overfill
  for (const auto& pick : all)
    if (pick.score <= least + margin && std::pair(-pick.proximity, pick.score) < std::pair(-best.proximity, best.score))
      best = pick;
  return report_choice(s, best);
}

}  // namespace lemonroute::decisions
