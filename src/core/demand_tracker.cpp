#include "core/demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemonroute {

void DemandTracker::record_load_report(EndpointId endpoint, double load, Micros now) {
  if (std::isfinite(load))
    reports_[endpoint] = {std::clamp(load, 0.0, 1.0), now};
}

NodeObserver::Demand DemandTracker::take_summary(double own_tokens, double memory_tokens,
                                                 std::uint32_t decode_nodes, Micros now) {
  std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at > report_lifetime; });
  double load = 0;
  for (const auto& [id, report] : reports_)
    load += report.load;
  NodeObserver::Demand demand;
  demand.own_load = memory_tokens > 0 ? std::clamp(own_tokens / memory_tokens, 0.0, 1.0) : 0;
  demand.reported_load = reports_.empty() ? demand.own_load : load / static_cast<double>(reports_.size());
  demand.accepted_requests = std::exchange(accepted_, 0);
  demand.rejected_requests = std::exchange(rejected_, 0);
  demand.decode_nodes = decode_nodes;
  return demand;
}

}  // namespace lemonroute
