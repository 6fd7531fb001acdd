#include "guide/combined_fleet_view.h"

#include <algorithm>

namespace lemonroute::guide {

FleetView::NodeOverlay CombinedFleetView::overlay(const Node& node) const {
  NodeOverlay combined;
  for (const auto& view : views_) {
    const NodeOverlay overlay = view->overlay(node);
    combined.drained |= overlay.drained;
    combined.started_at = std::max(combined.started_at, overlay.started_at);
    combined.expires_at = std::min(combined.expires_at, overlay.expires_at);
  }
  return combined;
}

std::vector<CacheLocation> CombinedFleetView::cache_locations(Key session_key, Key shared_prefix_key) const {
  std::vector<CacheLocation> locations;
  for (const auto& view : views_)
    for (auto& location : view->cache_locations(session_key, shared_prefix_key))
      locations.push_back(std::move(location));
  return locations;
}

Micros CombinedFleetView::cache_lost_at(const Node& node) const {
  Micros latest{};
  for (const auto& view : views_)
    latest = std::max(latest, view->cache_lost_at(node));
  return latest;
}

}  // namespace lemonroute::guide
