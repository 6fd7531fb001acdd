// A limit of requests a second. No I/O, no clock.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

// Requests a second that may pass, with a burst; full of credit only after a pause.
class TokenBucket {
 public:
  // Whether one more may pass now. `per_second`: the rate; `most`: the largest burst.
  bool take(double per_second, double most, Micros now) {
    level_ = std::min(most, level_ + per_second * to_microseconds(now - at_) / 1e6);
    at_ = now;
    if (level_ < 1)
      return false;
    level_ -= 1;
    return true;
  }

 private:
  double level_ = 0;
  Micros at_{};
};

}  // namespace lemonroute::estimation
