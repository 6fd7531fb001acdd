/// \file
/// Estimates how many routers share the nodes, for slow start (rule 4 of the platform): each router sends a
/// node in slow start 1/count of what the node bears. An estimate that is too low overloads such nodes; one
/// that is too high only warms them up slower. Does no I/O.
///
/// The estimate rises at once with the view. It falls only after Limits::periods periods in which no view was
/// larger, and only while this router sees more than half of the routers that it has known and more than half
/// of the configured number: when a network partition splits the fleet, at most one side may count fewer than
/// all routers. With n routers of which that side has s, the shares of all routers sum to s/s + (n-s)/n,
/// which is below 1.5. The scheduler uses at most 0.6 of what a node in slow start bears, so that rule 4
/// holds in any partition as it does with a fixed number of routers.
#pragma once

#include <cstdint>
#include <deque>

#include "peers/view.h"

namespace lemonroute::guide {

/// Estimates the number of routers from views of the peers. Used on one thread.
class RouterCountEstimator {
 public:
  /// Settings of the estimate.
  struct Limits {
    std::uint32_t configured = 1;  ///< router count of the settings; it holds until views have replaced it
    std::uint32_t min = 1,         ///< lower bound of the estimate
        max = 100'000;             ///< upper bound of the estimate
    std::uint32_t periods = 30;    ///< periods without a larger view before the estimate falls
  };
  /// Starts with the configured number of routers.
  explicit RouterCountEstimator(Limits limits) : limits_(limits) {}

  /// Takes the present view and returns the estimate. Must be called after each change of the view and once a
  /// period; `now` must never decrease.
  std::uint32_t update(Micros now, const peers::View& view);

 private:
  struct Peak {
    Micros last_seen_at{};
    std::uint32_t count = 0;
  };
  Limits limits_;
  std::deque<Peak> peaks_;  // counts decrease from front to back; each is the largest since the one before it
  std::uint32_t previous_count_ = 0;
};

}  // namespace lemonroute::guide
