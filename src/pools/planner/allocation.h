// How many decode nodes each region has, and how a migration would change that.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/planner/planner.h"

namespace lemonroute::pools::planner {

/// The allocation of the pools to regions while a plan is built.
class Allocation {
 public:
  /// `inputs` must outlive the allocation.
  explicit Allocation(const Inputs& inputs);

  /// What one region has.
  struct RegionState {
    const Region* region = nullptr;               ///< the region's demand
    double decode_nodes = 0;                      ///< at sites that are not lost
    std::map<std::string, double> nodes_at_site;  ///< the same, by site
    std::set<std::string> home_sites;             ///< sites of its own pools that are not lost
    /// Decode nodes that the region wants beyond those that it has.
    double shortage() const { return std::max(0.0, region->wanted - decode_nodes); }
  };
  /// All regions by name.
  const std::map<std::string, RegionState>& regions() const { return regions_; }
  /// All pools, sorted by name.
  const std::vector<Pool>& pools() const { return pools_; }
  /// Whether the pool's site is lost.
  bool site_lost(const Pool& pool) const { return inputs_->lost_sites.contains(pool.name.site); }
  /// Whether the inputs have a region of this name.
  bool has_region(const std::string& region) const { return regions_.contains(region); }
  /// Distance from the region to the pool's site.
  double distance(const std::string& region, const Pool& pool) const;

  /// Why the pool's owner can't give it to any region; empty: it can.
  std::string blocked_reason(const Pool& pool) const;
  /// By how much the sum of all shortages falls if the pool migrates to that region.
  double gain(const Pool& pool, const std::string& to) const;
  /// Moves the pool of that index to the region.
  void move(std::size_t pool, const std::string& to);

 private:
  // Whether the region without that pool has enough left after the loss of its largest site.
  bool keeps_headroom(const RegionState& state, const Pool& without) const;
  const Inputs* inputs_;
  std::map<std::string, RegionState> regions_;
  std::vector<Pool> pools_;
};

}  // namespace lemonroute::pools::planner
