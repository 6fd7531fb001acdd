#include "pools/demand/demand_sum.h"

#include <algorithm>
#include <numeric>

namespace lemonroute::pools {

double bounded_sum(const std::vector<double>& reports, double influence) {
  const double total = std::accumulate(reports.begin(), reports.end(), 0.0);
  if (reports.size() < 2)
    return total;
  double sum = 0;
  for (const double report : reports)
    sum += std::min(report, influence * (total - report) / static_cast<double>(reports.size() - 1));
  return sum;
}

void DemandSum::on_report(RegionId region, std::string_view sender, const DemandReport& report, Micros now) {
  std::erase_if(reports_, [now](const auto& one) { return one.second.received_at + report_lifetime <= now; });
  const auto found = reports_.find(sender);
  if (found == reports_.end()) {
    if (reports_.size() < max_routers)
      reports_.emplace(sender, ReceivedReport{region, report, now});
  } else if (report.sequence > found->second.report.sequence) {
    found->second = {region, report, now};
  }
}

std::optional<double> DemandSum::decode_nodes(RegionId region, std::size_t routers, Micros now) {
  std::vector<double> reports;
  for (const auto& [sender, received] : reports_)
    if (received.region == region && received.received_at + report_lifetime > now)
      reports.push_back(received.report.decode_nodes);
  if (reports.empty() || 2 * reports.size() < routers)
    return std::nullopt;
  return bounded_sum(reports, influence_);
}

}  // namespace lemonroute::pools
