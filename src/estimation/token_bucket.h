/// \file
/// A limit on requests per second. It reads no clock: the caller passes the time, which must not go back.
/// Free of I/O. It does not lock: an object is for one thread at a time.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// A token bucket: credit for requests comes at a steady rate, and what is not used is kept for a burst. A
/// new bucket is empty at time 0 of the caller's clock. By the time of its first request it has filled since
/// then, which on most clocks is long enough to be full.
class TokenBucket {
 public:
  /// Takes credit for one request; returns whether there was enough. `per_second` is the rate in requests per
  /// second. `max_burst` is the most requests that credit is kept for; below 1, no request ever passes.
  bool take(double per_second, double max_burst, Micros now) {
    const double earned = per_second * to_microseconds(now - refilled_at_) / 1e6;
    credit_ = std::min(max_burst, credit_ + earned);
    refilled_at_ = now;
    if (credit_ < 1)
      return false;
    credit_ -= 1;
    return true;
  }

 private:
  double credit_ = 0;     // in requests, as of refilled_at_
  Micros refilled_at_{};  // when credit was last added
};

}  // namespace lemonroute::estimation
