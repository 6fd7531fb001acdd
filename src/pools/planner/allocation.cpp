#include "pools/planner/allocation.h"

#include <algorithm>

namespace lemonroute::pools::planner {

Allocation::Allocation(const Inputs& inputs) : inputs_(&inputs), pools_(inputs.pools) {
  std::sort(pools_.begin(), pools_.end(), [](auto& a, auto& b) { return a.name < b.name; });
  for (const auto& region : inputs.regions)
    regions_[region.name].region = &region;
  for (const auto& pool : pools_) {
    if (site_lost(pool))
      continue;
    if (const auto home = regions_.find(pool.home); home != regions_.end())
      home->second.home_sites.insert(pool.name.site);
    const auto found = regions_.find(pool.owner);
    if (found == regions_.end())
      continue;
    found->second.decode_nodes += pool.decode_nodes;
    found->second.nodes_at_site[pool.name.site] += pool.decode_nodes;
  }
}

double Allocation::distance(const std::string& region, const Pool& pool) const {
  const auto found = inputs_->distance.find({region, pool.name.site});
  if (found != inputs_->distance.end())
    return found->second;
  return region == pool.home ? 0 : 1;
}

bool Allocation::keeps_headroom(const RegionState& state, const Pool& without) const {
  // The loss of a region's only site also takes all of its routers, so there is no headroom to keep. Pools
  // that it has borrowed elsewhere return home in any case.
  if (state.home_sites.size() < 2)
    return true;
  double largest_site = 0;
  for (const auto& [site, count] : state.nodes_at_site)
    largest_site = std::max(largest_site, count - (site == without.name.site ? without.decode_nodes : 0));
  return state.decode_nodes - without.decode_nodes - largest_site >=
         inputs_->settings.headroom * state.region->wanted;
}

std::string Allocation::blocked_reason(const Pool& pool) const {
  if (!pool.fixed_reason.empty())
    return pool.fixed_reason;
  if (pool.migrating)
    return "moving already";
  if (site_lost(pool))
    return "site lost";
  const auto owner = regions_.find(pool.owner);
  if (owner == regions_.end())
    return "";
  if (owner->second.decode_nodes - pool.decode_nodes < owner->second.region->reserve)
    return "reserve";
  return keeps_headroom(owner->second, pool) ? "" : "room for the loss of a site";
}

double Allocation::gain(const Pool& pool, const std::string& to) const {
  const RegionState& borrower = regions_.at(to);
  double before = borrower.shortage(),
         after = std::max(0.0, borrower.region->wanted - borrower.decode_nodes - pool.decode_nodes);
  if (const auto owner = regions_.find(pool.owner); owner != regions_.end()) {
    before += owner->second.shortage();
    after += std::max(0.0, owner->second.region->wanted - owner->second.decode_nodes + pool.decode_nodes);
  }
  return before - after;
}

void Allocation::move(std::size_t index, const std::string& to) {
  Pool& pool = pools_[index];
  if (const auto owner = regions_.find(pool.owner); owner != regions_.end()) {
    owner->second.decode_nodes -= pool.decode_nodes;
    auto& left_at_site = owner->second.nodes_at_site[pool.name.site];
    left_at_site -= pool.decode_nodes;
    if (left_at_site < 1e-9)
      owner->second.nodes_at_site.erase(pool.name.site);
  }
  RegionState& borrower = regions_.at(to);
  borrower.decode_nodes += pool.decode_nodes;
  borrower.nodes_at_site[pool.name.site] += pool.decode_nodes;
  pool.owner = to;
  pool.migrating = true;  // a plan migrates each pool once at most
}

}  // namespace lemonroute::pools::planner
