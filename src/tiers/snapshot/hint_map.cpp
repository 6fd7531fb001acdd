#include "tiers/snapshot/hint_map.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<CacheLocation> HintMap::cache_locations(Key session, Key shared) const {
  std::vector<Hint> hints;
  const auto gather = [&](KeyId key) {
    std::vector<std::uint32_t> site_nodes;  // for these the site tier overrides the region tier
    for (std::size_t tier = 0; tier < hints_by_tier_.size(); ++tier) {
      const auto& key_hints = hints_by_tier_[tier];
      const auto found = std::lower_bound(key_hints.begin(), key_hints.end(), key,
                                          [](const KeyHints& one, KeyId k) { return one.key < k; });
      if (found == key_hints.end() || found->key != key)
        continue;
      for (std::size_t i = 0; i < found->count; ++i) {
        const auto& hint = found->hints[i];
        if (tier == 0)
          site_nodes.push_back(hint.node);
        else if (std::find(site_nodes.begin(), site_nodes.end(), hint.node) != site_nodes.end())
          continue;
        const auto same =
            std::find_if(hints.begin(), hints.end(), [&](const Hint& one) { return one.node == hint.node; });
        if (same == hints.end())
          hints.push_back(hint);
        else if (hint.tokens * hint.confidence > same->tokens * same->confidence)
          *same = hint;
      }
    }
  };
  if (session != 0)
    gather(hasher_.session(session));
  if (shared != 0)
    gather(hasher_.shared_prefix(shared));
  std::stable_sort(hints.begin(), hints.end(), [](const Hint& a, const Hint& b) {
    return a.tokens * a.confidence > b.tokens * b.confidence;
  });
  if (hints.size() > max_hints)
    hints.resize(max_hints);
  std::vector<CacheLocation> locations;
  locations.reserve(hints.size());
  for (const auto& hint : hints)
    locations.push_back({nodes_[hint.node], hint.tokens, hint.confidence});
  return locations;
}

Micros HintMap::cache_lost_at(const Node& node) const {
  const auto found = lost_at_.find(node.name);
  return found == lost_at_.end() ? Micros{} : found->second;
}

}  // namespace lemonroute::tiers
