#include "pools/demand/local_demand.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::pools {

void LocalDemand::add(const NodeObserver::Demand& seen, Micros now) {
  const auto requests = static_cast<double>(seen.accepted_requests + seen.rejected_requests);
  const double rejected_share = requests > 0 ? static_cast<double>(seen.rejected_requests) / requests : 0;
  const double filled_nodes = std::clamp(seen.own_load, 0.0, 1.0) * seen.decode_nodes;
  const double wanted_nodes = filled_nodes / (1 - std::min(rejected_share, max_rejected_share));
  const double weight = last_added_at_ == Micros(0)
                            ? 1
                            : 1 - std::exp(-std::chrono::duration<double>(now - last_added_at_) /
                                           std::chrono::duration<double>(smoothing_time));
  decode_nodes_ += weight * (wanted_nodes - decode_nodes_);
  rejected_share_ += weight * (rejected_share - rejected_share_);
  last_added_at_ = now;
}

std::optional<DemandReport> LocalDemand::report(Micros now) const {
  if (last_added_at_ == Micros(0))
    return std::nullopt;  // an unknown demand must not be reported as no demand
  return DemandReport{static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count() / 1000)),
                      decode_nodes_, rejected_share_};
}

}  // namespace lemonroute::pools
