// Computes the planner's inputs from the calendar, the demand and the state of the pools.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/calendar/calendar.h"
#include "pools/extension/inventory.h"
#include "pools/planner/planner.h"

namespace lemonroute::pools {

/// How many decode nodes one region should have, and what that is based on.
struct RegionTarget {
  double share = 0;              ///< share of all decode nodes by the calendar
  std::optional<double> demand;  ///< measured demand in decode nodes; nothing if too few routers reported
  double wanted = 0;             ///< decode nodes that the region should have
};

/// Computes a region's target. `fills`: decode nodes that the region's requests fill. `all`: number of all
/// decode nodes. Demand changes the calendar's number by at most `Settings::max_correction` of all decode
/// nodes.
RegionTarget region_target(const Settings& settings, double share, std::optional<double> fills, double all);

/// Computes the planner's inputs.
class Planning {
 public:
  /// `settings` must outlive the object.
  explicit Planning(const Settings& settings);

  /// Each region's share of all decode nodes, in name order: the larger of the calendar's shares at `now`
  /// (Unix time) and `Settings::lead_time` later.
  std::vector<double> shares(Micros now, const Inventory& inventory) const;

  /// State of a pool that may migrate.
  struct PoolState {
    std::string owner;         ///< region
    std::string fixed_reason;  ///< why it can't migrate; empty: it can
    /// Whether the pool is migrating.
    bool migrating = false;
  };
  /// The planner's inputs. `wishes` and `accepts_pools` are in name order of the regions.
  planner::Inputs inputs(const Inventory& inventory, const std::vector<RegionTarget>& wishes,
                         const std::map<PoolName, PoolState>& states,
                         const std::vector<bool>& accepts_pools) const;

 private:
  const Settings* settings_;
  Calendar calendar_;
};

}  // namespace lemonroute::pools
