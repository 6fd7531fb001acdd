/// \file
/// The votes that a collector stores for its site or region.
#pragma once

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "tiers/merge/vote_set.h"

namespace lemonroute::tiers {

/// The votes that reach this router, with a bounded number of keys per shard and, of these, a bounded number
/// per contributor. It is soft state: votes that are not repeated expire.
class VoteTable {
 public:
  /// `max_keys`: of all shards together; each shard has room for at least 4.
  VoteTable(const IdHasher& hasher, std::size_t max_keys)
      : hasher_(hasher), max_keys_per_shard_(std::max<std::size_t>(4, max_keys / shard_count)) {}

  /// Stores a vote. The contributor must be authenticated.
  void put(KeyId key, NameId contributor, Vote vote);
  /// Removes votes that last arrived before the given time.
  void expire(Micros before);
  /// Returns the votes of a key, or nullptr.
  const VoteSet* find(KeyId key) const;
  /// Returns the keys whose votes have changed since the last call.
  std::vector<KeyId> take_changed();
  /// Calls `f(key, vote_set)` for all keys in no particular order.
  template <class F>
  void each(F&& f) const {
    for (const auto& shard : shards_)
      for (const auto& [key, vote_set] : shard.vote_sets)
        f(key, vote_set);
  }
  /// Number of keys.
  std::size_t size() const;
  /// Keys of a shard that one contributor may vote for.
  std::size_t quota() const { return std::max<std::size_t>(1, max_keys_per_shard_ / 4); }
  /// Counters since the start of the process.
  struct Counts {
    std::uint64_t votes = 0;       ///< votes put
    std::uint64_t evicted = 0;     ///< keys displaced or refused because a shard was full
    std::uint64_t over_quota = 0;  ///< votes beyond their contributor's quota
    std::uint64_t expired = 0;     ///< votes expired
  };
  /// Returns the counters.
  const Counts& counts() const { return counts_; }

 private:
  struct Shard {
    std::unordered_map<KeyId, VoteSet> vote_sets;
    std::unordered_map<NameId, std::size_t> vote_counts;  // stored votes by contributor
  };
  void erase(Shard& shard, KeyId key);
  bool make_room(Shard& shard, const VoteSet& newcomer);
  bool evict_oldest_vote(Shard& shard, NameId contributor, Micros now);
  static void decrement_votes(Shard& shard, NameId contributor);
  IdHasher hasher_;
  std::size_t max_keys_per_shard_;
  std::array<Shard, shard_count> shards_;
  std::set<KeyId> changed_;
  Counts counts_;
};

}  // namespace lemonroute::tiers
