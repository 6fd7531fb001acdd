// How long rights and promises last. No two clocks are ever compared: each process measures spans on its own
// steady clock, whose rate is within 1 - d and 1 + d of the true one.
//
// A holder counts from before it asked, a keeper from after it heard. With a promise of L on the keeper's
// clock (L / (1 + d) at least in truth) and a right of L (1 - d) / (1 + d) on the holder's (L / (1 + d) at
// most in truth), a right always ends before the promises that it stands on, by the margin at least.
#pragma once

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

struct Terms {
  Micros lease = std::chrono::seconds(3);  // L; 300 ms to 60 s
  double clock_error = 0.001;              // d, 0 to 0.1
  Micros margin =
      std::chrono::milliseconds(50);  // for what is under way to nodes; at most a tenth of the lease

  Micros promised() const { return lease; }
  Micros held() const { return scaled((1 - clock_error) / (1 + clock_error)) - margin; }
  // After a start without memory: every promise that may have been given before has run out.
  Micros abstained() const { return scaled(1 + clock_error) + margin; }
  Micros asks_every() const { return lease / 3; }

 private:
  Micros scaled(double by) const {
    return Micros(static_cast<std::int64_t>(static_cast<double>(lease.count()) * by));
  }
};

}  // namespace lemonroute::pools
