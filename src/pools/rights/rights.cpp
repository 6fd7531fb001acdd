#include "pools/rights/rights.h"

namespace lemonroute::pools {

bool never_moves(const Settings& settings, const std::string& region, const PoolName& pool) {
  const auto at = settings.regions.find(region);
  return at != settings.regions.end() && (at->second.keepers.empty() || at->second.reserve.contains(pool));
}

FleetView::NodeOverlay Rights::overlay(const Node& node) const {
  if (!frame_->writers.contains(node.kind))
    return {};
  const std::string* home = frame_->settings.region_of(node.zone);
  if (!home)
    return {};
  const PoolName name{node.zone, node.endpoint.cell};
  if (never_moves(frame_->settings, *home, name)) {
    FleetView::NodeOverlay laid;
    laid.drained = *home != frame_->region;
    return laid;
  }
  const auto at = pools_.find(name);
  FleetView::NodeOverlay laid;
  laid.drained = true;  // of a pool that has only just been listed, too: nobody has promised it yet
  if (at == pools_.end() || at->second.away)
    return laid;
  laid.drained = false;
  laid.started_at = at->second.started;
  laid.expires_at = at->second.until;
  return laid;
}

}  // namespace lemonroute::pools
