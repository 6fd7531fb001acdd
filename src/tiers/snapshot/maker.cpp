#include "tiers/snapshot/maker.h"

namespace lemonroute::tiers {

double MapMaker::confidence(const Known& known, KeyId key, const Told::Row& row, const Shown& holder,
                            Micros now) {
  if (!known.generations.holds(holder.device, holder.generation) || known.denied.has(key, holder.device, now))
    return 0;
  const double trust = known.believed(holder.by, now) * known.believed(row.teller, now);
  // Of nobody is more than half believed at first, so an unproven hint has a quarter of what a proven one
  // has.
  const double sure = trust * faded(holder.confidence, holder.seen, now, known.options.limits.fade);
  return sure < least ? 0 : sure;
}

std::shared_ptr<const Map> MapMaker::make(const Known& known, const Devices& devices, const Told& site,
                                          const Told& region, std::uint64_t version, Micros now) {
  auto map = std::make_shared<Map>(known.names);
  map->version_ = version;
  struct At {
    std::uint32_t node;
    double share;
  };
  std::unordered_map<NameId, At> index;
  map->nodes_.reserve(devices.size());
  for (const auto& [id, device] : devices) {
    index[id] = {static_cast<std::uint32_t>(map->nodes_.size()),
                 device.zone == known.options.site ? 1 : across};
    map->nodes_.push_back(device.name);
    if (const auto since = known.generations.void_since(id); since != Micros{})
      map->lost_[device.name] = since;
  }
  // Shards are the keys' leading bits, so that the rows come in the order of keys.
  const auto add = [&](const Told& told, std::vector<Map::Row>& rows) {
    rows.reserve(told.size());
    told.each([&](KeyId key, const Told::Row& row) {
      Map::Row to{key, 0, {}};
      for (const auto& holder : row.holders) {
        const auto at = index.find(holder.device);
        const double sure = at == index.end() ? 0 : confidence(known, key, row, holder, now);
        if (sure <= 0)
          continue;
        to.held[to.count++] = {at->second.node, static_cast<float>(holder.tokens),
                               static_cast<float>(sure * at->second.share)};
      }
      if (to.count > 0)
        rows.push_back(to);
    });
  };
  add(site, map->held_[0]);
  add(region, map->held_[1]);
  return map;
}

}  // namespace lemonroute::tiers
