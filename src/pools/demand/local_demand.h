// The smoothed demand of this router's own requests for decode nodes, as it reports it to other routers.
#pragma once

#include <optional>

#include "core/fleet_view.h"

namespace lemonroute::pools {

/// One router's demand for decode nodes.
struct DemandReport {
  std::uint64_t sequence = 0;  ///< grows with each report of one sender
  double decode_nodes = 0;  ///< decode nodes whose whole memory its requests fill, or would fill if none were
                            ///< rejected
  double rejected_share = 0;  ///< share of the requests that were rejected, 0 to 1
};

/// Smooths this router's own demand.
class LocalDemand {
 public:
  /// Adds what was seen since the last call. Times must not decrease.
  void add(const NodeObserver::Demand& seen, Micros now);
  /// The demand to report; nothing before the first call of `add`.
  std::optional<DemandReport> report(Micros now) const;

 private:
  static constexpr Micros smoothing_time = std::chrono::seconds(20);
  // Above this share, the number of rejected requests says little about the demand.
  static constexpr double max_rejected_share = 0.75;
  double decode_nodes_ = 0, rejected_share_ = 0;
  Micros last_added_at_{};
};

}  // namespace lemonroute::pools
