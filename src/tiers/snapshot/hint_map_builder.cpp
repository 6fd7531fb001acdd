#include "tiers/snapshot/hint_map_builder.h"

namespace lemonroute::tiers {

double HintMapBuilder::confidence(const SharedState& state, KeyId key, const ReceivedEntries::Entry& entry,
                                  const AdvertisedHolder& holder, Micros now) {
  if (!state.epochs.is_current(holder.device, holder.epoch) ||
      state.false_hints.contains(key, holder.device, now))
    return 0;
  const double trust = state.trust_in(holder.contributor, now) * state.trust_in(entry.sender, now);
  // The initial trust is one half, so a hint through two routers without a record has a quarter of the
  // confidence of one through two fully trusted routers.
  const double hint_confidence = trust * decayed_confidence(holder.confidence, holder.seen_at, now,
                                                            state.options.limits.confidence_half_life);
  return hint_confidence < min_confidence ? 0 : hint_confidence;
}

std::shared_ptr<const HintMap> HintMapBuilder::build(const SharedState& state, const Devices& devices,
                                                     const ReceivedEntries& site,
                                                     const ReceivedEntries& region, std::uint64_t version,
                                                     Micros now) {
  auto map = std::make_shared<HintMap>(state.hasher);
  map->version_ = version;
  struct ListedNode {
    std::uint32_t node;
    double confidence_factor;
  };
  std::unordered_map<NameId, ListedNode> index;
  map->nodes_.reserve(devices.size());
  for (const auto& [id, device] : devices) {
    index[id] = {static_cast<std::uint32_t>(map->nodes_.size()),
                 device.zone == state.options.site ? 1 : cross_site_factor};
    map->nodes_.push_back(device.name);
    if (const auto invalidated = state.epochs.invalidated_at(id); invalidated != Micros{})
      map->lost_at_[device.name] = invalidated;
  }
  // The shard is the leading bits of a key, so the entries arrive sorted by key.
  const auto add = [&](const ReceivedEntries& received, std::vector<HintMap::KeyHints>& key_hints) {
    key_hints.reserve(received.size());
    received.each([&](KeyId key, const ReceivedEntries::Entry& entry) {
      HintMap::KeyHints hints_of_key{key, 0, {}};
      for (const auto& holder : entry.holders) {
        const auto at = index.find(holder.device);
        const double hint_confidence = at == index.end() ? 0 : confidence(state, key, entry, holder, now);
        if (hint_confidence <= 0)
          continue;
        hints_of_key.hints[hints_of_key.count++] = {
            at->second.node, static_cast<float>(holder.tokens),
            static_cast<float>(hint_confidence * at->second.confidence_factor)};
      }
      if (hints_of_key.count > 0)
        key_hints.push_back(hints_of_key);
    });
  };
  add(site, map->hints_by_tier_[0]);
  add(region, map->hints_by_tier_[1]);
  return map;
}

}  // namespace lemonroute::tiers
