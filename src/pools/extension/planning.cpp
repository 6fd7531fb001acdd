#include "pools/extension/planning.h"

#include <algorithm>

#include "pools/leases/lease_snapshot.h"

namespace lemonroute::pools {

RegionTarget region_target(const Settings& settings, double share, std::optional<double> fills, double all) {
  RegionTarget wish{share, std::nullopt, share * all};
  if (!fills)
    return wish;
  wish.demand = *fills / settings.target_fill;
  const double max_correction = settings.max_correction * all;
  wish.wanted = std::clamp(*wish.demand, std::max(0.0, wish.wanted - max_correction),
                           std::min(all, wish.wanted + max_correction));
  return wish;
}

Planning::Planning(const Settings& settings)
    : settings_(&settings), calendar_(settings.unit, settings.hours) {}

std::vector<double> Planning::shares(Micros now, const Inventory& inventory) const {
  const auto current = calendar_.wanted_shares(now),
             upcoming = calendar_.wanted_shares(now + settings_->lead_time);
  const double all = inventory.total();
  std::vector<double> shares;
  std::size_t next = 0;  // the calendar has only the regions with hours, in the same order
  for (const auto& [name, region] : settings_->regions) {
    if (settings_->hours.contains(name)) {
      shares.push_back(std::max(current[next], upcoming[next]));
      ++next;
      continue;
    }
    double reserve = 0;
    for (const auto& [pool, decode_nodes] : inventory.decode_nodes)
      if (region.reserve.contains(pool))
        reserve += static_cast<double>(decode_nodes);
    shares.push_back(all > 0 ? reserve / all : 0);
  }
  return shares;
}

planner::Inputs Planning::inputs(const Inventory& inventory, const std::vector<RegionTarget>& wishes,
                                 const std::map<PoolName, PoolState>& states,
                                 const std::vector<bool>& accepts_pools) const {
  planner::Inputs inputs;
  inputs.settings = {std::max(0.001, settings_->hysteresis * inventory.total()),
                     settings_->max_concurrent_migrations, settings_->headroom};
  inputs.lost_sites = inventory.lost_sites;
  inputs.distance = settings_->distance;
  std::size_t r = 0;
  for (const auto& [name, region] : settings_->regions) {
    planner::Region input{name, wishes[r].wanted, 0, accepts_pools[r]};
    for (const auto& pool : region.reserve)
      if (const auto found = inventory.decode_nodes.find(pool); found != inventory.decode_nodes.end())
        input.reserve += static_cast<double>(found->second);
    inputs.regions.push_back(std::move(input));
    ++r;
  }
  for (const auto& [name, decode_nodes] : inventory.decode_nodes) {
    const std::string* home = settings_->region_of(name.site);
    if (!home)
      continue;
    planner::Pool pool{name, *home, *home, static_cast<double>(decode_nodes), "", false};
    if (never_migrates(*settings_, *home, name)) {
      pool.fixed_reason = settings_->regions.at(*home).grantors.empty() ? "no keepers" : "reserve";
    } else if (const auto found = states.find(name); found != states.end()) {
      pool.owner = found->second.owner;
      pool.fixed_reason = found->second.fixed_reason;
      pool.migrating = found->second.migrating;
    }
    inputs.pools.push_back(std::move(pool));
  }
  return inputs;
}

}  // namespace lemonroute::pools
