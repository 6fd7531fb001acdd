/// \file
/// Which nodes have how much of which prompt prefixes in their KV caches, as far as one router has seen. A
/// container: it decides nothing. It reads no clock: the caller passes the time, which must not go back. Free
/// of I/O. It does not lock: an object is for one thread at a time.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Records of cached prefixes. Nodes evict prefixes without a word, so that a record counts less as it ages.
class PrefixIndex {
 public:
  /// For how long a record counts in full.
  static constexpr Micros full_confidence_for = std::chrono::seconds(30);

  /// The most prefixes that have records. Each has at most one record per node.
  static constexpr std::size_t max_keys = 20000;

  /// Records that a node has the first `tokens` of a prefix cached, in place of its earlier record. Does
  /// nothing for key 0 and if `tokens` is not above 0. At max_keys, the records of some other prefix go.
  void record(Key key, EndpointId node, double tokens, Micros now);

  /// Returns how many tokens of a prefix a node is assumed to have cached. The node's record counts in full
  /// until it is full_confidence_for old, and then in inverse proportion to its age. Returns 0 for key 0, and
  /// where nothing was recorded after `valid_since`: the node is known to have lost what it had until then.
  double cached_tokens(Key key, EndpointId node, Micros valid_since, Micros now) const;

  /// Returns whether there is a record of a prefix at any node, however old. False for key 0.
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
