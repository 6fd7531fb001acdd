// What a router keeps for its site or region: the votes for the keys of all shards that reach it, a bounded
// number of keys for each shard, and of these a bounded number for each contributor. Soft: votes not said
// again are forgotten.
#pragma once

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "tiers/merge/row.h"

namespace lemonroute::tiers {

class VoteTable {
 public:
  VoteTable(const Names& names, std::size_t most_keys)
      : names_(names), most_(std::max<std::size_t>(4, most_keys / shards)) {}

  // Of a contributor whose name is proven.
  void put(KeyId key, NameId contributor, Vote vote);
  void expire(Micros before);
  const Row* find(KeyId key) const;
  std::vector<KeyId> take_touched();  // whose votes have changed since the last call
  template <class F>
  void each(F&& f) const {
    for (const auto& shard : shards_)
      for (const auto& [key, row] : shard.rows)
        f(key, row);
  }
  std::size_t size() const;
  std::size_t quota() const {
    return std::max<std::size_t>(1, most_ / 4);
  }  // keys of a shard that one contributor may vote for
  struct Counts {
    std::uint64_t votes = 0, evicted = 0, over_quota = 0, expired = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Shard {
    std::unordered_map<KeyId, Row> rows;
    std::unordered_map<NameId, std::size_t> by;  // keys for which a contributor's vote stands
  };
  void erase(Shard& shard, KeyId key);
  bool make_room(Shard& shard, const Row& newcomer);
  bool make_room_of(Shard& shard, NameId contributor, Micros now);
  static void release(Shard& shard, NameId contributor);
  Names names_;
  std::size_t most_;  // keys of a shard
  std::array<Shard, shards> shards_;
  std::set<KeyId> touched_;
  Counts counts_;
};

}  // namespace lemonroute::tiers
