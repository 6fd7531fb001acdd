#include "guide/fleet_guide.h"

#include <algorithm>

namespace lemonroute::guide {

FleetView::NodeOverlay FleetGuide::overlay(const Node& node) const {
  NodeOverlay all;
  for (const auto& part : parts_) {
    const NodeOverlay one = part->overlay(node);
    all.drained |= one.drained;
    all.started_at = std::max(all.started_at, one.started_at);
    all.expires_at = std::min(all.expires_at, one.expires_at);
  }
  return all;
}

std::vector<CacheLocation> FleetGuide::cache_locations(Key session, Key shared) const {
  std::vector<CacheLocation> all;
  for (const auto& part : parts_)
    for (auto& one : part->cache_locations(session, shared))
      all.push_back(std::move(one));
  return all;
}

Micros FleetGuide::cache_lost_at(const Node& node) const {
  Micros last{};
  for (const auto& part : parts_)
    last = std::max(last, part->cache_lost_at(node));
  return last;
}

}  // namespace lemonroute::guide
