#include "pools/rights/rights.h"

namespace lemonroute::pools {

bool never_moves(const Settings& settings, const std::string& region, const PoolName& pool) {
  const auto at = settings.regions.find(region);
  return at != settings.regions.end() && (at->second.keepers.empty() || at->second.reserve.contains(pool));
}

Guide::Laid Rights::lay(const Node& node) const {
  if (!frame_->writers.contains(node.kind))
    return {};
  const std::string* home = frame_->settings.region_of(node.zone);
  if (!home)
    return {};
  const PoolName name{node.zone, node.entry.cell};
  if (never_moves(frame_->settings, *home, name)) {
    Guide::Laid laid;
    laid.away = *home != frame_->region;
    return laid;
  }
  const auto at = pools_.find(name);
  Guide::Laid laid;
  laid.away = true;  // of a pool that has only just been listed, too: nobody has promised it yet
  if (at == pools_.end() || at->second.away)
    return laid;
  laid.away = false;
  laid.started = at->second.started;
  laid.until = at->second.until;
  return laid;
}

}  // namespace lemonroute::pools
