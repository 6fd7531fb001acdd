#include "core/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemonroute {

void DemandCount::reported(HostId writer, double held, Micros now) {
  if (std::isfinite(held))
    reports_[writer] = {std::clamp(held, 0.0, 1.0), now};
}

NodeObserver::Demand DemandCount::take(double own, double memory, std::uint32_t writers, Micros now) {
  std::erase_if(reports_, [&](const auto& one) { return now - one.second.at > fresh; });
  double held = 0;
  for (const auto& [id, report] : reports_)
    held += report.held;
  NodeObserver::Demand demand;
  demand.own = memory > 0 ? std::clamp(own / memory, 0.0, 1.0) : 0;
  // Writers that were not heard lately count as the mean of those that were.
  demand.reported = reports_.empty() ? demand.own : held / static_cast<double>(reports_.size());
  demand.taken = std::exchange(taken_, 0);
  demand.refused = std::exchange(refused_, 0);
  demand.writers = writers;
  return demand;
}

}  // namespace lemonroute
