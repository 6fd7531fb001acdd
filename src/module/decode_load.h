// How full and how slow a decode node is, from this router's own streams and from load reports.
#pragma once

#include "node_health.h"

namespace lemonroute::decisions {

inline double own_load(const SchedulerState& s, const NodeState& node) {
  double sum = 0;
  for (const auto& out : node.outstanding) {
    const auto& job = s.requests.at(out.id);
    const auto& a = s.attempt(out);
    const double pace = std::max(1.0, to_microseconds(job.class_settings->inter_token_objective));
    sum += job.prompt_tokens + (a.started ? std::min(clamp_reported_value(job.request.max_output_tokens), to_microseconds(s.now - a.first_token_at) / pace) : 0);
  }
  return sum / node.memory_or_default();
}

// Share of memory: own streams, and by report the others'. An old report gives way to the pool's mean.
inline double load(const SchedulerState& s, const NodeState& node) {
  const double trust = node.other_routers_load.confidence(s.now, s.memory_duration);
  return own_load(s, node) + trust * node.other_routers_load.value + (1 - trust) * s.pool_statistics(node.role).other_routers_load;
}

inline double latency_ratio(const SchedulerState& s, const NodeState& node) {
  const double trust = node.latency_ratio.confidence(s.now, s.memory_duration);
  return std::max({1.0, trust * node.latency_ratio.value + (1 - trust), overdue_ratio(s, node, false)});
}

inline void record_time_to_first_token(SchedulerState& s, NodeState& node, double elapsed) {
  if (s.time_to_first_token.known && s.time_to_first_token.value > 0) node.latency_ratio.add(elapsed / s.time_to_first_token.value, s.now);
  s.time_to_first_token.add(elapsed, s.now, usual_sample_weight / 4);
}

inline void record_load_report(SchedulerState& s, NodeState& node, const std::vector<float>& values) {
  const auto get = [&](const char* name, bool meant) -> std::optional<double> {
    const auto* at = meant ? lookup(s.report_column_index, name) : nullptr;
    if (!at || *at >= values.size() || !std::isfinite(values[*at])) return {};
    return std::max(0.0, static_cast<double>(values[*at]));
  };
  const auto held = get("x0", s.settings.report_x0_is_memory);
  const auto queued = get("x1", s.settings.report_x1_is_queued_tokens);
  if (held && node.role != Role::prefill) {  // what waits is not in memory yet, but coming
    s.load_reported = true;
    const double all = *held + queued.value_or(0) * 1000 / node.memory_or_default();
    node.other_routers_load.add(std::max(0.0, all - own_load(s, node)), s.now, 0.5);
  }
  if (queued && node.role != Role::decode) {  // prompts are reported whole, cached parts too
    double own = 0;
    for (const auto& out : node.outstanding)
      if (const auto& a = s.attempt(out); a.prefill && !a.started) own += s.requests.at(out.id).prompt_tokens;
    node.other_routers_queued_tokens.add(std::max(0.0, *queued * 1000 - own) * s.uncached_share.value, s.now, 0.5);
  }
}

inline void handle(SchedulerState& s, const HealthResult& probe) {
  NodeState* const node = lookup(s.nodes, probe.endpoint);
  if (!node) return;
  record_outcome(s, *node, probe.outcome != Outcome::ok);
  record_load_report(s, *node, probe.load_report);
}

}  // namespace lemonroute::decisions
