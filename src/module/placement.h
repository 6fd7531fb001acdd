// The choice of the prefill node: Mooncake's Algorithm 1.
#pragma once

#include "eligibility.h"

namespace lemonroute::decisions {

constexpr double prefill_time_weight = 3;  // prefill time against wait in a node's score, at the least
constexpr double queueing_penalty = 8;        // how much dearer prefill time gets when every node has a queue
constexpr double cross_zone_penalty = 0.03;     // of its aim a request may wait longer to stay in its zone
constexpr double idle_wait_share = 0.1;     // a node whose wait is this part of the aim at the most counts as idle

// The missing prefix is charged as prefill time in both branches, since cached prefixes can't be moved; the
// second one differs in that the node becomes a new home, which `record` does at the send.
inline Selection choose_prefill(SchedulerState& s, const RequestState& job, EndpointId avoid = 0) {
  refresh_pool_statistics(s);
  const std::vector<EndpointId> at_home = affinity_nodes(s, job);
  const double guess = at_home.empty() ? 0 : assumed_affinity_tokens(s, job);
  const auto weigh = [&](const NodeState& node, Selection& pick) -> const char* {
    pick.recorded_match = pick.assumed_match = prefix_match(s, node, job);
    if (std::ranges::count(at_home, pick.endpoint))
      pick.assumed_match = std::max(pick.assumed_match, pick.endpoint == at_home.front() ? guess : job.shared_prefix_tokens);
    pick.queue_wait = prefill_wait(s, node);
    pick.prefill_time = (job.prompt_tokens - pick.assumed_match) * prefill_rate(s, node);
    // Where all prefill nodes of a role have queues, each token prefilled anew there delays all behind it.
    const double crowded = std::min(1.0, s.pool_statistics(node.role).mean_prefill_wait / std::max(1.0, job.latency_objective));
    pick.score = pick.queue_wait + (prefill_time_weight + queueing_penalty * crowded) * pick.prefill_time;
    pick.score += failure_ratio(s, node) * job.latency_objective +
                  uncertainty_penalty(job, node, node.prefill_rate.confidence(s.now, s.memory_duration)) * pick.prefill_time;
    if (job.was_sent_to(pick.endpoint)) pick.score += job.latency_objective;
    if (node.endpoint.zone != s.settings.router_zone) pick.score += cross_zone_penalty * job.latency_objective;
    if (node.role == Role::mixed) {  // it would answer too: its answers' slowness and memory count
      const double held = load(s, node) + job.prompt_tokens / std::max(1.0, node.kv_cache_tokens);
      if (held > full_load) return "its memory is full";
      pick.score += (latency_ratio(s, node) - 1 + held) * job.latency_objective / 4;
    }
    return nullptr;
  };
  Selection best;
  for (const auto& pick : eligible_endpoints(s, job, Role::prefill, avoid, weigh))
    if (pick.score < best.score) best = pick;
  return report_choice(s, best);
}

// Danger: a session whose text is kept at a jammed node is refused turn after turn while other nodes are
// idle. The idle one that would be done first, if it is in time for the aim.
inline Selection choose_idle_prefill(SchedulerState& s, const RequestState& job) {
  const auto weigh = [&](const NodeState& node, Selection& pick) -> const char* {
    pick.recorded_match = pick.assumed_match = prefix_match(s, node, job);
    pick.queue_wait = prefill_wait(s, node);
    pick.prefill_time = (job.prompt_tokens - pick.assumed_match) * prefill_rate(s, node);
    pick.score = pick.queue_wait + pick.prefill_time;
    const bool idle = pick.queue_wait <= idle_wait_share * job.latency_objective && pick.score <= job.latency_objective && node.role == Role::prefill;
    return idle ? nullptr : "not idle, or too late for the aim";
  };
  Selection best;
  for (const auto& pick : eligible_endpoints(s, job, Role::prefill, 0, weigh))
    if (pick.score < best.score) best = pick;
  return report_choice(s, best);
}

}  // namespace lemonroute::decisions
