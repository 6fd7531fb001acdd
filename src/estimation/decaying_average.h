/// \file
/// Averages of samples. They read no clock: the caller passes the time, which must not decrease. Not
/// thread-safe.
#pragma once

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Default weight of a new sample against the average so far, 0 to 1.
inline constexpr double usual_sample_weight = 0.25;

/// Upper limit of DecayingAverage::samples. More samples do not make an average more reliable.
inline constexpr double max_samples = 20;

/// An exponentially weighted moving average (EWMA) with its age and its number of samples. Its unit is that
/// of the samples.
struct DecayingAverage {
  /// The average; the initial value before the first sample.
  double value = 0;
  /// Time of the latest sample; 0 before the first.
  Micros last_sample_at{};
  /// Whether `value` is meaningful. While false, the first sample replaces `value`.
  bool known = false;
  /// Sum of the evidence of all samples, at most max_samples.
  double samples = 0;

  /// Adds a sample. `weight` is its weight against the average so far, 0 to 1. `evidence` is what it adds to
  /// `samples`: 1 for a whole sample, less for a partial one.
  void add(double sample, Micros now, double weight = usual_sample_weight, double evidence = 1) {
    value = known ? value + weight * (sample - value) : sample;
    last_sample_at = now;
    known = true;
    samples = std::min(samples + evidence, max_samples);
  }

  /// Returns the freshness of the average: 1 at the latest sample, decreasing by a factor of e per
  /// `time_constant`, and 0 while nothing is known. `time_constant` must be above 0.
  double freshness(Micros now, Micros time_constant) const {
    if (!known)
      return 0;
    const double age = to_microseconds(now - last_sample_at);
    return std::exp(-age / to_microseconds(time_constant));
  }

  /// Returns the average multiplied by freshness(), so that it decays to 0 without new samples.
  double decayed_value(Micros now, Micros time_constant) const {
    return value * freshness(now, time_constant);
  }

  /// Returns the weight of this average against a more general one, in [0, 1): low for few or old samples.
  /// `time_constant` is as in freshness().
  double confidence(Micros now, Micros time_constant) const {
    const double evidence = samples * freshness(now, time_constant);
    return evidence / (evidence + 1);
  }
};

/// The weighted mean of a set of values, regardless of time.
struct WeightedMean {
  /// Minimum total weight for a mean. The quotient of two tiny sums would be noise.
  static constexpr double min_total_weight = 1e-3;

  /// The sum of all values, each multiplied by its weight.
  double sum = 0;
  /// The sum of all weights.
  double total_weight = 0;

  /// Adds a value. `weight` must not be negative.
  void add(double value, double weight = 1) {
    sum += weight * value;
    total_weight += weight;
  }

  /// Returns the mean, or 0 if the total weight is not above min_total_weight.
  double value() const { return total_weight > min_total_weight ? sum / total_weight : 0; }
};

}  // namespace lemonroute::estimation
