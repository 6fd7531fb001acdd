/// \file
/// Which routers collect the votes of each shard.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "peers/view.h"
#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// The collectors of each shard: the first few routers by rendezvous hash among the members that the view
/// considers present. Where views differ for a while, some votes go to an additional router, which costs a
/// payload and does no harm.
class ShardCollectors {
 public:
  /// Starts without members.
  ShardCollectors(const IdHasher& hasher, Tier tier) : hasher_(hasher), tier_(tier) {}
  /// Applies a view; `in_tier` tells whether a member belongs to the site or region. Returns the shards whose
  /// collectors have changed or have restarted without state.
  std::vector<std::size_t> update(const peers::View& view,
                                  const std::function<bool(const peers::Member&)>& in_tier);

  /// The members of the site or region by name, including this router.
  const std::vector<std::string>& members() const { return members_; }
  /// Whether the router is a member.
  bool is_member(std::string_view name) const;
  /// The collectors of the shard, best rank first.
  const std::vector<std::string>& collectors(std::size_t shard) const { return collectors_[shard]; }
  /// Whether the router is a collector of the shard.
  bool is_collector(std::string_view name, std::size_t shard) const;
  /// Whether the router is the head of the shard: its first collector, which advertises the shard's entries.
  bool is_head(std::string_view name, std::size_t shard) const {
    return !collectors_[shard].empty() && collectors_[shard].front() == name;
  }

 private:
  IdHasher hasher_;
  Tier tier_;
  std::vector<std::string> members_;
  std::array<std::vector<std::string>, shard_count> collectors_;
  std::array<std::vector<std::uint64_t>, shard_count> starts_;  // of the collectors' processes
};

}  // namespace lemonroute::tiers
