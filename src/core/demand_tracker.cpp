#include "core/demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemonroute {

void DemandTracker::record_load_report(EndpointId writer, double held, Micros now) {
  if (std::isfinite(held))
    reports_[writer] = {std::clamp(held, 0.0, 1.0), now};
}

NodeObserver::Demand DemandTracker::take_summary(double own, double memory, std::uint32_t writers,
                                                 Micros now) {
  std::erase_if(reports_, [&](const auto& one) { return now - one.second.at > report_lifetime; });
  double held = 0;
  for (const auto& [id, report] : reports_)
    held += report.load;
  NodeObserver::Demand demand;
  demand.own_load = memory > 0 ? std::clamp(own / memory, 0.0, 1.0) : 0;
  // Writers that were not heard lately count as the mean of those that were.
  demand.reported_load = reports_.empty() ? demand.own_load : held / static_cast<double>(reports_.size());
  demand.accepted_requests = std::exchange(accepted_, 0);
  demand.rejected_requests = std::exchange(rejected_, 0);
  demand.decode_nodes = writers;
  return demand;
}

}  // namespace lemonroute
