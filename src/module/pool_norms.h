// What is usual among the nodes of a role, worked out at most once an event, before its first choice.
#pragma once

#include "decode_load.h"
#include "prefill_wait.h"
#include "slow_start.h"

namespace lemonroute::decisions {

inline void refresh_pool_statistics(SchedulerState& s) {
  if (s.pool_statistics_current) return;
  s.pool_statistics_current = true;
  const auto& classes = s.settings.classes;  // what they aim at only ranks nodes while nothing is learned
  const double aim = classes.empty() ? 1 : std::max(1.0, to_microseconds(classes[0].latency_objective_per_1000_tokens) / 1000);
  for (const Role role : {Role::prefill, Role::decode, Role::mixed}) {
    PoolStatistics& p = s.pools[role] = PoolStatistics{.warm_node_work_rate = s.pools[role].warm_node_work_rate};
    WeightedMean others, queued_root, warm_work;
    Micros heard{};  // the newest report
    for (const auto& [id, node] : s.nodes) {
      if (!node.is_ready() || node.role != role) continue;
      p.ready_nodes += 1;
      p.ejected_nodes += failure_ratio(s, node) >= ejection_threshold;
      others.add(node.other_routers_load.value, node.other_routers_load.confidence(s.now, s.memory_duration));
      heard = std::max(heard, node.other_routers_load.last_sample_at);
      queued_root.add(std::sqrt(node.other_routers_queued_tokens.value), node.other_routers_queued_tokens.confidence(s.now, s.memory_duration));
      if (!in_slow_start(s, node)) warm_work.add(node.work_rate.value(s.now, s.memory_duration));
    }
    const auto* usual = lookup(s.prefill_rate_by_role, role);
    p.prefill_rate = usual ? usual->value() : s.last_prefill_rate.known ? s.last_prefill_rate.value : aim;
    // Danger: a mean cancels the weights of old reports; who refuses all for full nodes hears no new ones.
    const double recent = std::min(1.0, std::exp(1 - to_microseconds(s.now - heard) / to_microseconds(s.memory_duration)));
    p.other_routers_load = s.load_reported ? recent * others.value() : s.decode_rejection_ratio.decayed_value(s.now, s.memory_duration);
    // The mean of roots, so that one jammed prefill node does not stand for all.
    const double alike = std::max(0.0, s.unreported_queued_tokens[role].decayed_value(s.now, s.memory_duration));
    p.other_routers_queued_tokens = std::pow(queued_root.value(), 2) + alike;
    if (warm_work.total_weight > 0) p.warm_node_work_rate = warm_work.value();
    // Danger: the last warm node drains while its successors are cold, which would get next to nothing. Its
    // load goes on to count, and of prefill nodes the rate learned from prefills.
    if (warm_work.total_weight <= 0 && role == Role::prefill && usual)
      p.warm_node_work_rate = 1 / std::max(0.1, usual->value()) / s.settings.router_count;
  }
  for (const Role role : {Role::prefill, Role::mixed}) {
    WeightedMean waits;
    for (const auto& [id, node] : s.nodes)
      if (node.is_ready() && node.role == role) waits.add(prefill_wait(s, node));
    s.pools[role].mean_prefill_wait = waits.value();
  }
}

}  // namespace lemonroute::decisions
