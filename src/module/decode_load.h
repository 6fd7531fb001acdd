// How full and how slow a decode node is, from this router's own streams and from load reports.
#pragma once

#include "node_health.h"

namespace lemonroute::decisions {

inline double own_share(const State& s, const Node& node) {
  double sum = 0;
  for (const auto& out : node.out) {
    const auto& job = s.jobs.at(out.id);
    const auto& a = s.attempt(out);
    const double pace = std::max(1.0, us(job.terms->token_aim));
    sum += job.prompt + (a.started ? std::min(sane(job.request.max_output), us(s.now - a.first) / pace) : 0);
  }
  return sum / node.room();
}

// Share of memory: own streams, and by report the others'. An old report gives way to the pool's mean.
inline double load(const State& s, const Node& node) {
  const double trust = node.others.trust(s.now, s.fade);
  return own_share(s, node) + trust * node.others.value + (1 - trust) * s.pool(node.role).others;
}

inline double slowness(const State& s, const Node& node) {
  const double trust = node.slow.trust(s.now, s.fade);
  return std::max({1.0, trust * node.slow.value + (1 - trust), lateness(s, node, false)});
}

inline void learn_first_token(State& s, Node& node, double elapsed) {
  if (s.first_token.known && s.first_token.value > 0) node.slow.add(elapsed / s.first_token.value, s.now);
  s.first_token.add(elapsed, s.now, learn / 4);
}

inline void report(State& s, Node& node, const std::vector<float>& values) {
  const auto get = [&](const char* name, bool meant) -> std::optional<double> {
    const auto* at = meant ? lookup(s.columns, name) : nullptr;
    if (!at || *at >= values.size() || !std::isfinite(values[*at])) return {};
    return std::max(0.0, static_cast<double>(values[*at]));
  };
  const auto held = get("x0", s.settings.report_x0_is_memory);
  const auto queued = get("x1", s.settings.report_x1_is_unread);
  if (held && node.role != Role::read) {  // what waits is not in memory yet, but coming
    s.reported = true;
    const double all = *held + queued.value_or(0) * 1000 / node.room();
    node.others.add(std::max(0.0, all - own_share(s, node)), s.now, 0.5);
  }
  if (queued && node.role != Role::write) {  // prompts are reported whole, cached parts too
    double own = 0;
    for (const auto& out : node.out)
      if (const auto& a = s.attempt(out); a.prefill && !a.started) own += s.jobs.at(out.id).prompt;
    node.others_queued.add(std::max(0.0, *queued * 1000 - own) * s.fresh_share.value, s.now, 0.5);
  }
}

inline void on(State& s, const HealthResult& probe) {
  Node* const node = lookup(s.nodes, probe.host);
  if (!node) return;
  note_outcome(s, *node, probe.outcome != Outcome::ok);
  report(s, *node, probe.load);
}

}  // namespace lemonroute::decisions
