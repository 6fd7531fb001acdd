/// \file
/// Records of which nodes have cached how many tokens of which prompt prefixes, as observed by one router. It
/// reads no clock: the caller passes the time, which must not decrease. Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Records of cached prefixes. Nodes evict prefixes without notice, so a record counts less as it ages.
class PrefixIndex {
 public:
  /// Age up to which a record counts in full.
  static constexpr Micros full_confidence_for = std::chrono::seconds(30);

  /// Maximum number of prefixes with records. Each has at most one record per node.
  static constexpr std::size_t max_keys = 20000;

  /// Records that a node has the first `tokens` of a prefix cached, and replaces its earlier record. Does
  /// nothing for key 0 or if `tokens` is not above 0. At max_keys prefixes, the records of another prefix are
  /// evicted.
  void record(Key key, EndpointId node, double tokens, Micros now);

  /// Returns how many tokens of a prefix a node is assumed to have cached. A record counts in full up to the
  /// age full_confidence_for, and then in inverse proportion to its age. Returns 0 for key 0, and if nothing
  /// was recorded after `valid_since`, because the node is known to have lost its earlier prefixes.
  double cached_tokens(Key key, EndpointId node, Micros valid_since, Micros now) const;

  /// Returns whether there is a record of a prefix at any node, regardless of its age. False for key 0.
  bool contains(Key key) const { return records_.contains(key); }

 private:
  struct CacheRecord {
    EndpointId node;
    double tokens;
    Micros recorded_at;
  };

  std::map<Key, std::vector<CacheRecord>> records_;
};

}  // namespace lemonroute::estimation
