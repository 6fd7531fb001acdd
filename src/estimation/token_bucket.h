/// \file
/// A rate limit on requests. It reads no clock: the caller passes the time, which must not decrease. Not
/// thread-safe.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// A token bucket: tokens for requests are added at a steady rate, and unused tokens are kept for a burst. A
/// new bucket is empty at time 0 of the caller's clock and fills from then on, so on most clocks it is full
/// at its first request.
class TokenBucket {
 public:
  /// Takes the token for one request; returns whether there was one. `per_second` is the rate in requests per
  /// second. `max_burst` is the maximum number of tokens; below 1, no request is ever allowed.
  bool take(double per_second, double max_burst, Micros now) {
    const double added = per_second * to_microseconds(now - refilled_at_) / 1e6;
    tokens_ = std::min(max_burst, tokens_ + added);
    refilled_at_ = now;
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;     // as of refilled_at_
  Micros refilled_at_{};  // time of the latest refill
};

}  // namespace lemonroute::estimation
