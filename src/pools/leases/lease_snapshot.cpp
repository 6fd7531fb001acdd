#include "pools/leases/lease_snapshot.h"

namespace lemonroute::pools {

bool never_migrates(const Settings& settings, const std::string& region, const PoolName& pool) {
  const auto found = settings.regions.find(region);
  return found != settings.regions.end() &&
         (found->second.grantors.empty() || found->second.reserve.contains(pool));
}

FleetView::NodeOverlay LeaseSnapshot::overlay(const Node& node) const {
  if (!common_->decode_kinds.contains(node.kind))
    return {};
  const std::string* home = common_->settings.region_of(node.zone);
  if (!home)
    return {};
  const PoolName name{node.zone, node.endpoint.cell};
  if (never_migrates(common_->settings, *home, name)) {
    FleetView::NodeOverlay overlay;
    overlay.drained = *home != common_->region;
    return overlay;
  }
  const auto found = pools_.find(name);
  FleetView::NodeOverlay overlay;
  overlay.drained = true;  // also for a pool that was listed only now: nobody holds a lease of it yet
  if (found == pools_.end() || found->second.drained)
    return overlay;
  overlay.drained = false;
  overlay.started_at = found->second.started_at;
  overlay.expires_at = found->second.expires_at;
  return overlay;
}

}  // namespace lemonroute::pools
