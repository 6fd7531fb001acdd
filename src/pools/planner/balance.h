// Who has how many writers, and what a move would change in that.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pools/planner/planner.h"

namespace lemonroute::pools::planner {

class Balance {
 public:
  explicit Balance(const Inputs& inputs);  // must outlive it

  struct Stand {
    const Region* region = nullptr;
    double writers = 0;                     // at sites that are not lost
    std::map<std::string, double> at_site;  // those, by site
    std::set<std::string> home_sites;       // of its own pools, not lost
    double short_by() const { return std::max(0.0, region->wanted - writers); }
  };
  const std::map<std::string, Stand>& stands() const { return stands_; }
  const std::vector<Pool>& pools() const { return pools_; }  // by name
  bool lost(const Pool& pool) const { return inputs_->lost.contains(pool.name.site); }
  bool known(const std::string& region) const { return stands_.contains(region); }
  double distance(const std::string& region, const Pool& pool) const;

  // Why its owner can't give this pool to anybody; empty: it can.
  std::string held_by(const Pool& pool) const;
  // By how much the sum of all shortages falls if it goes there.
  double gain(const Pool& pool, const std::string& to) const;
  void move(std::size_t pool, const std::string& to);

 private:
  // Whether, without that pool, enough is left to its region after the loss of the site that takes most.
  bool keeps_room(const Stand& stand, const Pool& without) const;
  const Inputs* inputs_;
  std::map<std::string, Stand> stands_;
  std::vector<Pool> pools_;
};

}  // namespace lemonroute::pools::planner
