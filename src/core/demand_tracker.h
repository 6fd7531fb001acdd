// What this router's clients ask of the writers, as it can tell: its own streams, and what writers say they
// hold. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>

#include "core/fleet_view.h"

namespace lemonroute {

class DemandTracker {
 public:
  // A writer's report of the share of its memory that is held, 0 to 1. Only the newest of each counts, for a
  // time.
  void record_load_report(EndpointId writer, double held, Micros now);
  void record_accepted() { ++accepted_; }
  void record_rejected() { ++rejected_; }

  // Of the time since the last call. `own`: tokens that streams of this router hold at writers; `memory`:
  // what the `writers` have in all, in tokens.
  NodeObserver::Demand take_summary(double own, double memory, std::uint32_t writers, Micros now);

  static constexpr Micros report_lifetime =
      std::chrono::seconds(10);  // an older report says nothing any more

 private:
  struct Report {
    double load = 0;
    Micros at{};
  };
  std::map<EndpointId, Report> reports_;
  std::uint64_t accepted_ = 0, rejected_ = 0;
};

}  // namespace lemonroute
