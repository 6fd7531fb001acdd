#include "tiers/sharding/shard_collectors.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<std::size_t> ShardCollectors::update(const peers::View& view,
                                                 const std::function<bool(const peers::Member&)>& in_tier) {
  members_.clear();
  std::vector<NameId> ids;
  std::vector<std::uint64_t> starts;
  for (const auto& member : view.members) {
    if (!member.is_live() || !in_tier(member))
      continue;
    members_.push_back(member.name);
    ids.push_back(hasher_.name(member.name));
    starts.push_back(member.start);
  }
  std::vector<std::size_t> changed;
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks(members_.size());
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    const auto salt = hasher_.mix(shard, static_cast<std::uint64_t>(tier_));
    for (std::size_t i = 0; i < ids.size(); ++i)
      ranks[i] = {hasher_.mix(ids[i], salt), i};
    const auto count = std::min(collectors_per_shard, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end());
    std::vector<std::string> collectors;
    std::vector<std::uint64_t> collector_starts;
    for (std::size_t i = 0; i < count; ++i) {
      collectors.push_back(members_[ranks[i].second]);
      collector_starts.push_back(starts[ranks[i].second]);
    }
    if (collectors == collectors_[shard] && collector_starts == starts_[shard])
      continue;
    collectors_[shard] = std::move(collectors);
    starts_[shard] = std::move(collector_starts);
    changed.push_back(shard);
  }
  return changed;
}

bool ShardCollectors::is_member(std::string_view name) const {
  return std::binary_search(members_.begin(), members_.end(), name, std::less<>());
}
bool ShardCollectors::is_collector(std::string_view name, std::size_t shard) const {
  return std::find(collectors_[shard].begin(), collectors_[shard].end(), name) != collectors_[shard].end();
}

}  // namespace lemonroute::tiers
