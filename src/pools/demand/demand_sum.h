// The demand of each region's routers, with a bounded influence of any one router.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/demand/local_demand.h"
#include "pools/leases/ballot.h"

namespace lemonroute::pools {

/// Sums the reports. Each report counts for at most `influence` (1 or more) times the mean of the others.
///
/// Whatever one of n routers reports, the sum is at most 1 + influence / (n - 1) times the sum of the other
/// reports. Reports that stay below the limit, as in a fleet whose clients are spread evenly, are counted in
/// full. The report of a single router is counted as it is: the correction of the calendar is bounded in any
/// case.
double bounded_sum(const std::vector<double>& reports, double influence);

/// Collects the routers' reports and sums them by region.
class DemandSum {
 public:
  /// `influence`: as in `bounded_sum`.
  explicit DemandSum(double influence) : influence_(influence) {}
  /// Takes a report of a router of the region. Reports older than the sender's last one are ignored.
  void on_report(RegionId region, std::string_view sender, const DemandReport& report, Micros now);
  /// Decode nodes that the region's requests fill; nothing unless half of the region's `routers` reported
  /// within the last 30 s.
  std::optional<double> decode_nodes(RegionId region, std::size_t routers, Micros now);

 private:
  static constexpr Micros report_lifetime = std::chrono::seconds(30);
  static constexpr std::size_t max_routers = 4096;  // reports of further routers are ignored
  struct ReceivedReport {
    RegionId region;
    DemandReport report;
    Micros received_at;
  };
  double influence_;
  std::map<std::string, ReceivedReport, std::less<>> reports_;
};

}  // namespace lemonroute::pools
