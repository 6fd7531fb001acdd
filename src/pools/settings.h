// What the operator's file says of pools. The same on every router of the fleet: those whose keepers,
// reserves or lease differ do not hear each other (see mark).
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/calendar/calendar.h"
#include "pools/names.h"
#include "pools/rights/terms.h"

namespace lemonroute::pools {

struct RegionSettings {
  std::vector<std::string> sites;
  std::vector<std::string> keepers;  // 3, 5 or 7 routers; none: its pools never move
  std::set<PoolName> reserve;        // pools of its sites that never move
};

struct Settings {
  std::map<std::string, RegionSettings> regions;
  std::map<std::string, RegionHours> hours;  // a region without any wants the writers of its reserve
  Unit unit = Unit::share;
  Terms terms;
  std::size_t moving_at_once = 1;  // of one home region's pools
  double hysteresis = 0.05;        // share of all writers
  double room = 0.5;               // part of its wish that a lender keeps after the loss of any one site
  double correction = 0.1;         // share of all writers by which demand may correct the calendar either way
  double fill = 0.7;               // share of their memory that writers are meant to fill
  double influence = 2;  // most that one router's report counts, in means of its region's other reports
  Micros ahead = std::chrono::minutes(5);  // pools are asked for so long before the calendar says
  Micros plans_every = std::chrono::seconds(5);
  std::map<std::pair<std::string, std::string>, double> distance;  // region, site

  bool on() const { return !regions.empty(); }
  const std::string* region_of(const std::string& site) const;  // null: of none
  // One number of all that safety rests on.
  std::uint64_t mark() const;
};

}  // namespace lemonroute::pools
