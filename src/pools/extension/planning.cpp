#include "pools/extension/planning.h"

#include <algorithm>

#include "pools/rights/rights.h"

namespace lemonroute::pools {

Wish wish_of(const Settings& settings, double share, std::optional<double> fills, double all) {
  Wish wish{share, std::nullopt, share * all};
  if (!fills)
    return wish;
  wish.demand = *fills / settings.fill;
  const double most = settings.correction * all;
  wish.wanted =
      std::clamp(*wish.demand, std::max(0.0, wish.wanted - most), std::min(all, wish.wanted + most));
  return wish;
}

Planning::Planning(const Settings& settings)
    : settings_(&settings), calendar_(settings.unit, settings.hours) {}

std::vector<double> Planning::shares(Micros now, const Inventory& stock) const {
  const auto at = calendar_.wanted(now), soon = calendar_.wanted(now + settings_->ahead);
  const double all = stock.all();
  std::vector<double> shares;
  std::size_t next = 0;  // the calendar's regions are those with hours, in the same order
  for (const auto& [name, region] : settings_->regions) {
    if (settings_->hours.contains(name)) {
      shares.push_back(std::max(at[next], soon[next]));
      ++next;
      continue;
    }
    double reserve = 0;
    for (const auto& [pool, writers] : stock.writers)
      if (region.reserve.contains(pool))
        reserve += static_cast<double>(writers);
    shares.push_back(all > 0 ? reserve / all : 0);
  }
  return shares;
}

planner::Inputs Planning::inputs(const Inventory& stock, const std::vector<Wish>& wishes,
                                 const std::map<PoolName, PoolState>& states,
                                 const std::vector<bool>& takes) const {
  planner::Inputs in;
  in.settings = {std::max(0.001, settings_->hysteresis * stock.all()), settings_->moving_at_once,
                 settings_->room};
  in.lost = stock.lost;
  in.distance = settings_->distance;
  std::size_t r = 0;
  for (const auto& [name, region] : settings_->regions) {
    planner::Region one{name, wishes[r].wanted, 0, takes[r]};
    for (const auto& pool : region.reserve)
      if (const auto at = stock.writers.find(pool); at != stock.writers.end())
        one.reserve += static_cast<double>(at->second);
    in.regions.push_back(std::move(one));
    ++r;
  }
  for (const auto& [name, writers] : stock.writers) {
    const std::string* home = settings_->region_of(name.site);
    if (!home)
      continue;
    planner::Pool pool{name, *home, *home, static_cast<double>(writers), "", false};
    if (never_moves(*settings_, *home, name)) {
      pool.fixed = settings_->regions.at(*home).keepers.empty() ? "no keepers" : "reserve";
    } else if (const auto at = states.find(name); at != states.end()) {
      pool.owner = at->second.owner;
      pool.fixed = at->second.fixed;
      pool.moving = at->second.moving;
    }
    in.pools.push_back(std::move(pool));
  }
  return in;
}

}  // namespace lemonroute::pools
