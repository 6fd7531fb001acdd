/// \file
/// Which prompt prefixes are cached at which nodes: as recorded by this router, and as all routers expect by
/// a common hash. Owns the records, the popularity of shared prefixes, and CacheRecordValidity of each node.
/// Lengths are in tokens. Used on the serving thread only.
#pragma once

#include <vector>

#include "estimation/prefix_index.h"
#include "estimation/prefix_popularity.h"
#include "module/context.h"
#include "module/node_registry.h"
#include "module/request_state.h"
#include "module/slow_start_limiter.h"

namespace lemonroute::decisions {

/// Estimates where the prefix of a prompt is cached.
class PrefixCacheIndex {
 public:
  /// Keeps the references, which must outlive it.
  PrefixCacheIndex(Context& context, const NodeRegistry& nodes, const SlowStartLimiter& slow_start)
      : context_(context), nodes_(nodes), slow_start_(slow_start) {}

  /// Counts a request that has arrived, for the popularity of its shared prefix.
  void record_arrival(const RequestState& request);

  /// Returns the prompt tokens that the node has cached according to the records.
  [[nodiscard]] double recorded_cached_tokens(const Node& node, const RequestState& request) const;

  /// Records that a node has the prompt of the request cached, or will have it after the attempt being sent.
  void record_cached_prefix(const RequestState& request, EndpointId endpoint);

  /// Compares the cached tokens that a prefill found with the records. After two misses in a row all records
  /// of the node become invalid: it has restarted unnoticed or evicts prefixes, and its records would
  /// otherwise keep attracting requests.
  void verify_cached_tokens(Node& node, const Attempt& attempt, double cached_tokens);

  /// Returns the nodes where every router expects the prefix of the request by hash, the preferred one first.
  /// Turns of a session may reach different routers, and later turns find the prefix of earlier ones this
  /// way. Empty for a request without session and shared prefix.
  [[nodiscard]] std::vector<EndpointId> affinity_nodes(const RequestState& request) const;

  /// Returns the prompt tokens that the first of affinity_nodes() is assumed to have cached: the shared
  /// prefix, and a part of the rest if this router has not seen the session.
  [[nodiscard]] double assumed_affinity_tokens(const RequestState& request) const;

 private:
  Context& context_;
  const NodeRegistry& nodes_;
  const SlowStartLimiter& slow_start_;

  estimation::PrefixIndex session_prefixes_;  // by Request::session_key
  estimation::PrefixIndex shared_prefixes_;   // by Request::shared_prefix_key
  estimation::PrefixPopularity popularity_;
};

}  // namespace lemonroute::decisions
