// What the routers of each region ask of writers together, with bounded influence of any one of them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/demand/own.h"
#include "pools/rights/ballot.h"

namespace lemonroute::pools {

// The sum of what is reported, where no report counts for more than `influence` (1 or more) means of the
// others. So whatever one of n routers says, the sum is at most 1 + influence / (n - 1) times what the others
// report; and where the others are all below the measure, as in a fleet whose clients are spread over it,
// they are counted whole. A router alone is believed: what the calendar may be corrected by is bounded all
// the same.
double bounded_sum(const std::vector<double>& reports, double influence);

class Sum {
 public:
  explicit Sum(double influence) : influence_(influence) {}
  // A report of a router of that region. Older ones than its last are left out.
  void heard(RegionId region, std::string_view sender, const Report& report, Micros now);
  // Writers that the region's requests fill; nothing unless half of its `routers` reported within the last 30
  // s.
  std::optional<double> writers(RegionId region, std::size_t routers, Micros now);

 private:
  static constexpr Micros ages_out = std::chrono::seconds(30);
  static constexpr std::size_t most = 4096;  // routers; more are left out
  struct Said {
    RegionId region;
    Report report;
    Micros at;
  };
  double influence_;
  std::map<std::string, Said, std::less<>> said_;
};

}  // namespace lemonroute::pools
