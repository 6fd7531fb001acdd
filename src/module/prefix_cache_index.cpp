#include "module/prefix_cache_index.h"

#include <algorithm>
#include <string>

#include "estimation/rendezvous_hash.h"

namespace lemonroute::decisions {
namespace {

// A prefill that found fewer than its expected cached tokens divided by this counts as a miss. It corresponds
// to kvcache_balancing_threshold of Mooncake's algorithm.
constexpr double mismatch_factor = 2;
constexpr int max_misses_in_a_row = 2;  // a single miss may be a normal eviction
// Part of the prompt beyond the shared prefix that is assumed to be cached for a session that this router has
// not seen.
constexpr double unseen_session_cached_share = 0.5;
// Minimum capacity of a node in slow start against a warm node in the ranking by hash, so that its share is
// never 0.
constexpr double min_relative_capacity = 1e-3;

}  // namespace

void PrefixCacheIndex::record_arrival(const RequestState& request) {
  popularity_.record_arrival(request.request.shared_prefix_key);
}

double PrefixCacheIndex::recorded_cached_tokens(const Node& node, const RequestState& request) const {
  const Micros valid_since = node.cache_records.valid_since_;
  const double shared = shared_prefixes_.cached_tokens(request.request.shared_prefix_key, node.id(),
                                                       valid_since, context_.now());
  const double session =
      session_prefixes_.cached_tokens(request.request.session_key, node.id(), valid_since, context_.now());
  return std::min(request.prompt_tokens, std::max(session, std::min(request.shared_prefix_tokens, shared)));
}

void PrefixCacheIndex::record_cached_prefix(const RequestState& request, EndpointId endpoint) {
  session_prefixes_.record(request.request.session_key, endpoint, request.prompt_tokens, context_.now());
  shared_prefixes_.record(request.request.shared_prefix_key, endpoint,
                          std::min(request.shared_prefix_tokens, request.prompt_tokens), context_.now());
}

void PrefixCacheIndex::verify_cached_tokens(Node& node, const Attempt& attempt, double cached_tokens) {
  if (attempt.expected_cached_tokens <= 0)
    return;
  CacheRecordValidity& validity = node.cache_records;
  const bool matches = cached_tokens >= attempt.expected_cached_tokens / mismatch_factor;
  validity.misses_in_a_row_ = matches ? 0 : validity.misses_in_a_row_ + 1;
  if (validity.misses_in_a_row_ < max_misses_in_a_row)
    return;
  validity.misses_in_a_row_ = 0;
  validity.valid_since_ = context_.now();
  context_.emit(Log{"prefix cache records dropped: id=" + std::to_string(node.id())});
}

std::vector<EndpointId> PrefixCacheIndex::affinity_nodes(const RequestState& request) const {
  const Key session = request.request.session_key;
  const Key shared_prefix = request.request.shared_prefix_key;
  const Key key = shared_prefix ? shared_prefix : session;
  if (!key)
    return {};
  const Settings& settings = context_.settings();
  // Mixed nodes get prefixes only if there are no prefill nodes.
  const Role prefilling_role = nodes_.ready_nodes(Role::prefill) > 0 ? Role::prefill : Role::mixed;
  std::vector<estimation::WeightedNode> prefill_nodes;
  std::vector<estimation::WeightedNode> decode_nodes;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.is_ready())
      continue;
    const double capacity = slow_start_.in_slow_start(node)
                                ? std::max(min_relative_capacity, settings.slow_start_initial_capacity)
                                : 1;
    const estimation::WeightedNode weighted{id, node.zone(), capacity};
    if (node.role() == prefilling_role)
      prefill_nodes.push_back(weighted);
    if (node.role() != Role::prefill)
      decode_nodes.push_back(weighted);
  }
  const double share = shared_prefix ? popularity_.share(key) : 0;
  const estimation::RouterLocation location{settings.router_zone, settings.router_count};
  return estimation::affinity_nodes(key, session, share, location, prefill_nodes, decode_nodes);
}

double PrefixCacheIndex::assumed_affinity_tokens(const RequestState& request) const {
  const bool session_is_known = session_prefixes_.contains(request.request.session_key);
  const double rest = request.prompt_tokens - request.shared_prefix_tokens;
  return request.shared_prefix_tokens + (session_is_known ? 0 : unseen_session_cached_share * rest);
}

}  // namespace lemonroute::decisions
