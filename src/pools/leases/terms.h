// Durations of leases and grants. Clocks of two processes are never compared: each process measures durations
// on its own steady clock, whose rate is within 1 - d and 1 + d of the true rate.
//
// A lease holder counts from before it sent its request, a grantor from after it received the request. A
// grant lasts L on the grantor's clock, which is at least L / (1 + d) of true time. A lease lasts L (1 - d) /
// (1 + d) less the margin on the holder's clock, which is at most L / (1 + d) of true time less the margin. A
// lease therefore always ends before the grants that it rests on, by at least the margin.
#pragma once

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

/// Timing of the leases, the same on all routers of the fleet.
struct LeaseTerms {
  Micros lease = std::chrono::seconds(3);  ///< duration L of a grant; 300 ms to 60 s
  double clock_error = 0.001;              ///< relative error d of a clock's rate, 0 to 0.1
  Micros margin =
      std::chrono::milliseconds(50);  ///< time for requests in flight to nodes; at most a tenth of the lease

  /// Duration of a grant on the grantor's clock.
  Micros grant_duration() const { return lease; }
  /// Duration of a lease on the holder's clock, from when the request was sent.
  Micros lease_duration() const { return scaled((1 - clock_error) / (1 + clock_error)) - margin; }
  /// How long a grantor that starts without memory grants nothing: afterwards every grant that it may have
  /// given before has expired.
  Micros abstention() const { return scaled(1 + clock_error) + margin; }
  /// Interval at which routers request their leases.
  Micros request_interval() const { return lease / 3; }

 private:
  Micros scaled(double factor) const {
    return Micros(static_cast<std::int64_t>(static_cast<double>(lease.count()) * factor));
  }
};

}  // namespace lemonroute::pools
