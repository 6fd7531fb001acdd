// A rate that one router learns from what passes through it. No I/O, no clock.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

// Work a microsecond, fading with the time since it came. True in the mean, however few samples there are.
class DecayingRate {
 public:
  // More work, or, if negative, work that turned out not to count.
  void add(double work, Micros now, Micros fade) {
    assume(value(now, fade) + work / to_microseconds(fade), now);
  }
  // As another router has learned it.
  void assume(double rate, Micros now) { rate_.add(std::max(0.0, rate), now, 1); }
  double value(Micros now, Micros fade) const { return rate_.value * rate_.freshness(now, fade); }
  bool known() const { return rate_.known; }

 private:
  DecayingAverage rate_;
};

}  // namespace lemonroute::estimation
