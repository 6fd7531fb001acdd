/// \file
/// Tracks the load that this router's clients put on the decode nodes. Does no I/O and reads no clock. Used
/// on the serving thread only.
#pragma once

#include <cstdint>
#include <map>

#include "core/fleet_view.h"

namespace lemonroute {

/// Collects load reports of decode nodes and counts of requests, and summarises them at intervals.
class DemandTracker {
 public:
  /// Records the share of its KV cache memory that a decode node reports as used. The value is clamped to the
  /// range 0 to 1 and ignored if it is not finite. A node's newest report is valid for report_lifetime.
  void record_load_report(EndpointId endpoint, double load, Micros now);
  /// Counts a request that this router has accepted.
  void record_accepted() { ++accepted_; }
  /// Counts a request that this router has rejected for lack of capacity.
  void record_rejected() { ++rejected_; }

  /// Summarises the reports that are still valid and the requests counted since the last call. A decode node
  /// without a valid report is assumed to have the mean load of the others. If no node has reported, the
  /// share of the memory that this router's own requests use is taken as the reported load.
  /// \param own_tokens KV cache that this router's requests occupy on decode nodes, in tokens.
  /// \param memory_tokens total KV cache memory of all decode nodes, in tokens.
  /// \param decode_nodes the number of decode nodes that are ready.
  /// \param now the present time, on the clock that record_load_report uses.
  NodeObserver::Demand take_summary(double own_tokens, double memory_tokens, std::uint32_t decode_nodes,
                                    Micros now);

  /// How long a load report is valid.
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
