// What is kept of a prompt where: the table of cached prefixes, and the homes found by hash.
#pragma once

#include "estimation/homes.h"
#include "slow_start.h"

namespace lemonroute::decisions {

constexpr double cache_mismatch_factor = 2;  // kvcache_balancing_threshold of the algorithm
constexpr double unseen_session_cached_share = 0.5;         // of unseen sessions' prompts beyond their shared beginning

inline double prefix_match(const SchedulerState& s, const NodeState& node, const RequestState& job) {
  const EndpointId host = node.endpoint.id;
  const double shared = s.shared_prefixes.cached_tokens(job.request.shared_prefix_key, host, node.cache_valid_since, s.now);
  const double session = s.session_prefixes.cached_tokens(job.request.session_key, host, node.cache_valid_since, s.now);
  return std::min(job.prompt_tokens, std::max(session, std::min(job.shared_prefix_tokens, shared)));
}
inline void record_cached_prefix(SchedulerState& s, const RequestState& job, EndpointId host) {
  s.session_prefixes.record(job.request.session_key, host, job.prompt_tokens, s.now);
  s.shared_prefixes.record(job.request.shared_prefix_key, host, std::min(job.shared_prefix_tokens, job.prompt_tokens), s.now);
}

// Danger: prefixes evicted, by a restart that the list missed or for want of memory. The table would go on to
// credit long matches and the home would overfill (DESIGN, Doubts). Two cached counts far below credit in a
// row void what the table says of that node.
inline void verify_cached_tokens(SchedulerState& s, NodeState& node, const Attempt& attempt, double cached) {
  if (attempt.expected_cached_tokens <= 0) return;
  node.cache_misses_in_a_row = cached >= attempt.expected_cached_tokens / cache_mismatch_factor ? 0 : node.cache_misses_in_a_row + 1;
  if (node.cache_misses_in_a_row < 2) return;
  node.cache_misses_in_a_row = 0;
  node.cache_valid_since = s.now;
  s.emit(Log{"texts kept by host " + std::to_string(node.endpoint.id) + " no longer trusted"});
}

// The prefill nodes where every router, by hash alone, expects a session's beginning. Without it the turns
// of a session that come to other routers find nothing cached.
inline std::vector<EndpointId> affinity_nodes(const SchedulerState& s, const RequestState& job) {
  const Key key = job.request.shared_prefix_key ? job.request.shared_prefix_key : job.request.session_key;
  if (!key) return {};
  // Mixed nodes are homes only where there are no prefill nodes.
  const Role role = s.pool_statistics(Role::prefill).ready_nodes > 0 ? Role::prefill : Role::mixed;
  std::vector<estimation::WeightedNode> prefill, decode;
  for (const auto& [id, node] : s.nodes) {
    if (!node.is_ready()) continue;
    const double able = in_slow_start(s, node) ? std::max(1e-3, s.settings.slow_start_initial_capacity) : 1;
    if (node.role == role) prefill.push_back({id, node.endpoint.zone, able});
    if (node.role != Role::prefill) decode.push_back({id, node.endpoint.zone, able});
  }
  const double part = job.request.shared_prefix_key ? s.prefix_popularity.share(key) : 0;
  const estimation::RouterLocation seat{s.settings.router_zone, s.settings.router_count};
  return estimation::affinity_nodes(key, job.request.session_key, part, seat, prefill, decode);
}

// What its home may keep beyond what is recorded: the shared beginning, of an unseen session's rest a part.
inline double assumed_affinity_tokens(const SchedulerState& s, const RequestState& job) {
  return job.shared_prefix_tokens + (s.session_prefixes.contains(job.request.session_key) ? 0 : unseen_session_cached_share * (job.prompt_tokens - job.shared_prefix_tokens));
}

}  // namespace lemonroute::decisions
