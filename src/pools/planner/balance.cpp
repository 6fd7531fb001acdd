#include "pools/planner/balance.h"

#include <algorithm>

namespace lemonroute::pools::planner {

Balance::Balance(const Inputs& inputs) : inputs_(&inputs), pools_(inputs.pools) {
  std::sort(pools_.begin(), pools_.end(), [](auto& a, auto& b) { return a.name < b.name; });
  for (const auto& region : inputs.regions)
    stands_[region.name].region = &region;
  for (const auto& pool : pools_) {
    if (lost(pool))
      continue;
    if (const auto home = stands_.find(pool.home); home != stands_.end())
      home->second.home_sites.insert(pool.name.site);
    const auto at = stands_.find(pool.owner);
    if (at == stands_.end())
      continue;
    at->second.writers += pool.writers;
    at->second.at_site[pool.name.site] += pool.writers;
  }
}

double Balance::distance(const std::string& region, const Pool& pool) const {
  const auto at = inputs_->distance.find({region, pool.name.site});
  if (at != inputs_->distance.end())
    return at->second;
  return region == pool.home ? 0 : 1;
}

bool Balance::keeps_room(const Stand& stand, const Pool& without) const {
  // A region that stands at one site alone goes with it, routers and all: there is nothing to keep room for.
  // What it has borrowed elsewhere goes back all the same.
  if (stand.home_sites.size() < 2)
    return true;
  double most = 0;
  for (const auto& [site, writers] : stand.at_site)
    most = std::max(most, writers - (site == without.name.site ? without.writers : 0));
  return stand.writers - without.writers - most >= inputs_->settings.room * stand.region->wanted;
}

std::string Balance::held_by(const Pool& pool) const {
  if (!pool.fixed.empty())
    return pool.fixed;
  if (pool.moving)
    return "moving already";
  if (lost(pool))
    return "site lost";
  const auto owner = stands_.find(pool.owner);
  if (owner == stands_.end())
    return "";
  if (owner->second.writers - pool.writers < owner->second.region->reserve)
    return "reserve";
  return keeps_room(owner->second, pool) ? "" : "room for the loss of a site";
}

double Balance::gain(const Pool& pool, const std::string& to) const {
  const Stand& taker = stands_.at(to);
  double before = taker.short_by(),
         after = std::max(0.0, taker.region->wanted - taker.writers - pool.writers);
  if (const auto owner = stands_.find(pool.owner); owner != stands_.end()) {
    before += owner->second.short_by();
    after += std::max(0.0, owner->second.region->wanted - owner->second.writers + pool.writers);
  }
  return before - after;
}

void Balance::move(std::size_t index, const std::string& to) {
  Pool& pool = pools_[index];
  if (const auto owner = stands_.find(pool.owner); owner != stands_.end()) {
    owner->second.writers -= pool.writers;
    auto& there = owner->second.at_site[pool.name.site];
    there -= pool.writers;
    if (there < 1e-9)
      owner->second.at_site.erase(pool.name.site);
  }
  Stand& taker = stands_.at(to);
  taker.writers += pool.writers;
  taker.at_site[pool.name.site] += pool.writers;
  pool.owner = to;
  pool.moving = true;  // one move a pool in a plan
}

}  // namespace lemonroute::pools::planner
