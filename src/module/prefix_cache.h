// What is kept of a prompt where: the table of cached prefixes, and the homes found by hash.
#pragma once

#include "fleet/homes.h"
#include "slow_start.h"

namespace lemonroute::decisions {

constexpr double balancing_threshold = 2;  // kvcache_balancing_threshold of the algorithm
constexpr double home_keeps = 0.5;         // of unseen sessions' prompts beyond their shared beginning

inline double prefix_match(const State& s, const Node& node, const Job& job) {
  const HostId host = node.entry.host;
  const double shared = s.shareds.length(job.request.shared, host, node.void_before, s.now);
  const double session = s.sessions.length(job.request.session, host, node.void_before, s.now);
  return std::min(job.prompt, std::max(session, std::min(job.shared, shared)));
}
inline void record(State& s, const Job& job, HostId host) {
  s.sessions.record(job.request.session, host, job.prompt, s.now);
  s.shareds.record(job.request.shared, host, std::min(job.shared, job.prompt), s.now);
}

// Danger: prefixes evicted, by a restart that the list missed or for want of memory. The table would go on to
// credit long matches and the home would overfill (DESIGN, Doubts). Two cached counts far below credit in a
// row void what the table says of that node.
inline void compare_cached(State& s, Node& node, const Attempt& attempt, double cached) {
  if (attempt.credit <= 0) return;
  node.misses = cached >= attempt.credit / balancing_threshold ? 0 : node.misses + 1;
  if (node.misses < 2) return;
  node.misses = 0;
  node.void_before = s.now;
  s.act(Log{"texts kept by host " + std::to_string(node.entry.host) + " no longer trusted"});
}

// The prefill nodes where every router, by hash alone, expects a session's beginning. Without it the turns
// of a session that come to other routers find nothing cached.
inline std::vector<HostId> homes(const State& s, const Job& job) {
  const Key key = job.request.shared ? job.request.shared : job.request.session;
  if (!key) return {};
  // Mixed nodes are homes only where there are no prefill nodes.
  const Role role = s.pool(Role::read).nodes > 0 ? Role::read : Role::both;
  std::vector<fleet::Member> prefill, decode;
  for (const auto& [id, node] : s.nodes) {
    if (!node.listed()) continue;
    const double able = cold(s, node) ? std::max(1e-3, s.settings.cold_from) : 1;
    if (node.role == role) prefill.push_back({id, node.entry.zone, able});
    if (node.role != Role::read) decode.push_back({id, node.entry.zone, able});
  }
  const double part = job.request.shared ? s.openings.part(key) : 0;
  const fleet::Seat seat{s.settings.zone, s.settings.siblings};
  return fleet::homes(key, job.request.session, part, seat, prefill, decode);
}

// What its home may keep beyond what is recorded: the shared beginning, of an unseen session's rest a part.
inline double home_guess(const State& s, const Job& job) {
  return job.shared + (s.sessions.knows(job.request.session) ? 0 : home_keeps * (job.prompt - job.shared));
}

}  // namespace lemonroute::decisions
