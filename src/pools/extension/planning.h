// From the calendar, the demand and what is known of the pools to the planner's inputs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/calendar/calendar.h"
#include "pools/extension/inventory.h"
#include "pools/planner/planner.h"

namespace lemonroute::pools {

// What one region is to have, and how that came about. In writers, but for `share`.
struct Wish {
  double share = 0;              // the calendar's, of all writers
  std::optional<double> demand;  // measured; nothing where too few told
  double wanted = 0;
};

// `fills`: writers that the region's requests fill. Demand moves the calendar's wish by `correction` of all
// at most.
Wish wish_of(const Settings& settings, double share, std::optional<double> fills, double all);

class Planning {
 public:
  explicit Planning(const Settings& settings);  // must outlive it

  // Shares of all writers by region, the larger of now's and of those soon; Unix time.
  std::vector<double> shares(Micros now, const Inventory& stock) const;

  struct PoolState {
    std::string owner;
    std::string fixed;  // why it can't move
    bool moving = false;
  };
  planner::Inputs inputs(const Inventory& stock, const std::vector<Wish>& wishes,
                         const std::map<PoolName, PoolState>& states, const std::vector<bool>& takes) const;

 private:
  const Settings* settings_;
  Calendar calendar_;
};

}  // namespace lemonroute::pools
