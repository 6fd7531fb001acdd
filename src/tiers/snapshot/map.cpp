#include "tiers/snapshot/map.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<CacheLocation> Map::cache_locations(Key session, Key shared) const {
  std::vector<Held> all;
  const auto gather = [&](KeyId key) {
    std::vector<std::uint32_t> of_site;  // it knows these better than the region
    for (std::size_t tier = 0; tier < held_.size(); ++tier) {
      const auto& rows = held_[tier];
      const auto row = std::lower_bound(rows.begin(), rows.end(), key,
                                        [](const Row& one, KeyId k) { return one.key < k; });
      if (row == rows.end() || row->key != key)
        continue;
      for (std::size_t i = 0; i < row->count; ++i) {
        const auto& held = row->held[i];
        if (tier == 0)
          of_site.push_back(held.node);
        else if (std::find(of_site.begin(), of_site.end(), held.node) != of_site.end())
          continue;
        const auto same =
            std::find_if(all.begin(), all.end(), [&](const Held& one) { return one.node == held.node; });
        if (same == all.end())
          all.push_back(held);
        else if (held.tokens * held.confidence > same->tokens * same->confidence)
          *same = held;
      }
    }
  };
  if (session != 0)
    gather(names_.session(session));
  if (shared != 0)
    gather(names_.shared(shared));
  std::stable_sort(all.begin(), all.end(), [](const Held& a, const Held& b) {
    return a.tokens * a.confidence > b.tokens * b.confidence;
  });
  if (all.size() > most_hints)
    all.resize(most_hints);
  std::vector<CacheLocation> kept;
  kept.reserve(all.size());
  for (const auto& held : all)
    kept.push_back({nodes_[held.node], held.tokens, held.confidence});
  return kept;
}

Micros Map::cache_lost_at(const Node& node) const {
  const auto found = lost_.find(node.name);
  return found == lost_.end() ? Micros{} : found->second;
}

}  // namespace lemonroute::tiers
