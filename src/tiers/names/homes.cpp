#include "tiers/names/homes.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<std::size_t> Homes::viewed(const peers::View& view,
                                       const std::function<bool(const peers::Member&)>& in) {
  members_.clear();
  std::vector<NameId> ids;
  std::vector<std::uint64_t> starts;
  for (const auto& member : view.members) {
    if (!member.is_live() || !in(member))
      continue;
    members_.push_back(member.name);
    ids.push_back(names_.of(member.name));
    starts.push_back(member.start);
  }
  std::vector<std::size_t> changed;
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks(members_.size());
  for (std::size_t shard = 0; shard < shards; ++shard) {
    const auto salt = names_.mix(shard, static_cast<std::uint64_t>(tier_));
    for (std::size_t i = 0; i < ids.size(); ++i)
      ranks[i] = {names_.mix(ids[i], salt), i};
    const auto few = std::min(collectors_of_shard, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(few), ranks.end());
    std::vector<std::string> now;
    std::vector<std::uint64_t> since;
    for (std::size_t i = 0; i < few; ++i) {
      now.push_back(members_[ranks[i].second]);
      since.push_back(starts[ranks[i].second]);
    }
    if (now == collectors_[shard] && since == starts_[shard])
      continue;
    collectors_[shard] = std::move(now);
    starts_[shard] = std::move(since);
    changed.push_back(shard);
  }
  return changed;
}

bool Homes::has(std::string_view name) const {
  return std::binary_search(members_.begin(), members_.end(), name, std::less<>());
}
bool Homes::keeps(std::string_view name, std::size_t shard) const {
  return std::find(collectors_[shard].begin(), collectors_[shard].end(), name) != collectors_[shard].end();
}

}  // namespace lemonroute::tiers
