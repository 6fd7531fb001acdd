// The operator's settings of pools. They are the same on every router of the fleet: routers whose grantors,
// reserves or lease terms differ reject each other's messages (see Settings::fingerprint).
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/calendar/calendar.h"
#include "pools/leases/terms.h"
#include "pools/names.h"

namespace lemonroute::pools {

/// One region's sites, grantors and reserve.
struct RegionSettings {
  std::vector<std::string> sites;
  std::vector<std::string> grantors;  ///< grantors: 3, 5 or 7 routers; none: its pools never migrate
  std::set<PoolName> reserve;         ///< pools of its sites that never migrate
};

/// Settings of all regions.
struct Settings {
  std::map<std::string, RegionSettings> regions;
  std::map<std::string, RegionHours>
      hours;  ///< by region; a region without hours wants the decode nodes of its reserve
  CalendarUnit unit = CalendarUnit::share;  ///< unit of the hours
  LeaseTerms terms;
  std::size_t max_concurrent_migrations = 1;  ///< concurrent migrations of one home region's pools
  double hysteresis = 0.05;                   ///< share of all decode nodes
  double headroom = 0.5;  ///< headroom: share of its wanted number that a lender keeps after the loss of any
                          ///< one site
  double max_correction =
      0.1;  ///< share of all decode nodes by which demand may correct the calendar up or down
  double target_fill = 0.7;  ///< share of their memory that decode nodes are meant to fill
  double max_influence =
      2;  ///< largest weight of one router's report, in means of its region's other reports
  Micros lead_time = std::chrono::minutes(5);  ///< how long before the calendar's time pools are requested
  Micros plan_interval = std::chrono::seconds(5);                  ///< interval of planning
  std::map<std::pair<std::string, std::string>, double> distance;  ///< by region and site

  /// Whether any region is configured.
  bool enabled() const { return !regions.empty(); }
  /// The region of a site; null: the site belongs to no region.
  const std::string* region_of(const std::string& site) const;
  /// Hash of all settings that mutual exclusion rests on.
  std::uint64_t fingerprint() const;
};

}  // namespace lemonroute::pools
