/// \file
/// An exponentially decaying rate. It reads no clock: the caller passes the time, which must not decrease.
/// Not thread-safe.
#pragma once

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Work per microsecond, where older work counts exponentially less. Under a steady rate the mean of value()
/// converges to that rate, even if work arrives rarely. The caller chooses the unit of work.
class DecayingRate {
 public:
  /// Adds work that has arrived. Negative work cancels work that was added before; the rate does not fall
  /// below 0. `time_constant` is the time in which the rate falls by a factor of e without new work. It must
  /// be above 0 and should be the same in all calls.
  void add(double work, Micros now, Micros time_constant) {
    assume(value(now, time_constant) + work / to_microseconds(time_constant), now);
  }

  /// Replaces the rate, for instance by the rate that another router measured. A negative rate counts as 0.
  void assume(double rate, Micros now) { rate_.add(std::max(0.0, rate), now, 1); }

  /// Returns the rate in work per microsecond, or 0 while nothing is known. `time_constant` is as in add().
  double value(Micros now, Micros time_constant) const { return rate_.decayed_value(now, time_constant); }

  /// Returns whether add() or assume() was called.
  bool known() const { return rate_.known; }

 private:
  DecayingAverage rate_;  // samples have weight 1, so its value is the rate at the latest change
};

}  // namespace lemonroute::estimation
