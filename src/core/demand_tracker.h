/// \file
/// What the clients of this router ask of the decode nodes. Free of I/O and of clocks. Used on the serving
/// thread only.
#pragma once

#include <cstdint>
#include <map>

#include "core/fleet_view.h"

namespace lemonroute {

/// Collects load reports of decode nodes and counts of requests, and summarises them at intervals.
class DemandTracker {
 public:
  /// Takes a decode node's report of the share of its KV cache memory in use, 0 to 1; it is clamped to that
  /// range, and ignored unless it is finite. The newest report of each node counts, for report_lifetime.
  void record_load_report(EndpointId endpoint, double load, Micros now);
  /// Counts a request that this router has accepted.
  void record_accepted() { ++accepted_; }
  /// Counts a request that this router has rejected for want of capacity.
  void record_rejected() { ++rejected_; }

  /// Summarises the reports that still count and the requests since the last call. Decode nodes without a
  /// report count as the mean of those with one; if no node has reported, this router's own share of the
  /// memory stands for the load.
  /// \param own_tokens KV cache at decode nodes that this router's requests hold, in tokens.
  /// \param memory_tokens KV cache memory of all decode nodes together, in tokens.
  /// \param decode_nodes the number of decode nodes that are ready.
  /// \param now the present time, on the clock of the reports.
  NodeObserver::Demand take_summary(double own_tokens, double memory_tokens, std::uint32_t decode_nodes,
                                    Micros now);

  /// How long a load report counts.
  static constexpr Micros report_lifetime = std::chrono::seconds(10);

 private:
  struct Report {
    double load = 0;
    Micros at{};
  };
  std::map<EndpointId, Report> reports_;
  std::uint64_t accepted_ = 0, rejected_ = 0;
};

}  // namespace lemonroute
