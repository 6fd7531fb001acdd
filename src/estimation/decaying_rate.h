/// \file
/// A rate that one router measures by what passes through it. It reads no clock: the caller passes the time,
/// which must not go back. Free of I/O. It does not lock: an object is for one thread at a time.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Work per microsecond, in which work counts less and less with the time since it came. Under a steady rate
/// the mean of value() comes to that rate, however seldom work comes. The unit of work is the caller's.
class DecayingRate {
 public:
  /// Adds work that has come. Negative work takes back what turned out not to count; the rate stays at 0 or
  /// above. `fade` is the time in which the rate falls by a factor of e when no work comes; it must be above
  /// 0 and should be the same in all calls.
  void add(double work, Micros now, Micros fade) {
    assume(value(now, fade) + work / to_microseconds(fade), now);
  }

  /// Replaces the rate, for instance by what another router measured. A negative rate counts as 0.
  void assume(double rate, Micros now) { rate_.add(std::max(0.0, rate), now, 1); }

  /// Returns the rate in work per microsecond, or 0 while nothing is known. `fade` is that of add().
  double value(Micros now, Micros fade) const { return rate_.decayed_value(now, fade); }

  /// Returns whether work was ever added or a rate assumed.
  bool known() const { return rate_.known; }

 private:
  DecayingAverage rate_;  // each sample has weight 1, so that the value is the rate at the latest change
};

}  // namespace lemonroute::estimation
