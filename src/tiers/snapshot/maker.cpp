#include "tiers/snapshot/maker.h"

namespace lemonroute::tiers {

double MapMaker::confidence(const Known& known, KeyId key, const Told::Row& row, const Shown& holder, Micros now) {
  if (!known.eras.holds(holder.device, holder.era) || known.denied.has(key, holder.device, now)) return 0;
  const double trust = known.believed(holder.by, now) * known.believed(row.teller, now);
  // Of nobody is more than half believed at first, so an unproven hint has a quarter of what a proven one has.
  const double sure = trust * faded(holder.confidence, holder.seen, now, known.options.limits.fade);
  return sure < least ? 0 : sure;
}

std::shared_ptr<const Map> MapMaker::make(const Known& known, const Devices& devices, const Told& site,
                                          const Told& region, std::uint64_t version, Micros now) {
  auto map = std::make_shared<Map>(known.names);
  map->version_ = version;
  std::unordered_map<NameId, std::uint32_t> index;
  map->nodes_.reserve(devices.size());
  for (const auto& [id, device] : devices) {
    index[id] = static_cast<std::uint32_t>(map->nodes_.size());
    map->nodes_.push_back(device.name);
    if (const auto since = known.eras.void_since(id); since != Micros{}) map->lost_[device.name] = since;
  }
  map->held_.reserve(site.size() + region.size());
  const auto add = [&](KeyId key, const Told::Row& row) {
    for (const auto& holder : row.holders) {
      const auto at = index.find(holder.device);
      if (at == index.end()) continue;
      double sure = confidence(known, key, row, holder, now);
      if (sure <= 0) continue;
      if (devices.at(holder.device).zone != known.options.site) sure *= across;
      auto& held = map->held_[key];
      bool twice = false;  // the site has said it, and knows it better than the region
      for (const auto& one : held) twice = twice || one.node == at->second;
      if (!twice) held.push_back({at->second, static_cast<float>(holder.tokens), static_cast<float>(sure)});
    }
  };
  site.each(add);
  region.each(add);
  return map;
}

}  // namespace lemonroute::tiers
