/// \file
/// Averages of samples that one router takes itself. None of them reads a clock: the caller passes the time,
/// which must not go back. Free of I/O. None of them locks: an object is for one thread at a time.
#pragma once

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// The usual weight of a new sample against the average so far, 0 to 1.
inline constexpr double usual_sample_weight = 0.25;

/// The most samples that DecayingAverage::samples counts; more do not make an average more certain.
inline constexpr double max_samples = 20;

/// An exponentially weighted moving average (EWMA) that also knows how old it is and how many samples it
/// rests on. Its unit is that of the samples.
struct DecayingAverage {
  /// The average; 0, or what it was initialized with, before the first sample.
  double value = 0;
  /// When the latest sample was added; 0 before the first.
  Micros last_sample_at{};
  /// Whether `value` stands for anything. While it is false, the first sample replaces `value`.
  bool known = false;
  /// How many whole samples were added, at most max_samples.
  double samples = 0;

  /// Adds a sample. `weight` is that of the sample against the average so far, 0 to 1. `evidence` is how much
  /// of a whole sample it is for `samples`, 0 to 1.
  void add(double sample, Micros now, double weight = usual_sample_weight, double evidence = 1) {
    value = known ? value + weight * (sample - value) : sample;
    last_sample_at = now;
    known = true;
    samples = std::min(samples + evidence, max_samples);
  }

  /// Returns how fresh the average is: 1 at the latest sample, less by a factor of e for each `fade` since,
  /// and 0 while nothing is known. `fade` must be above 0.
  double freshness(Micros now, Micros fade) const {
    if (!known)
      return 0;
    const double age = to_microseconds(now - last_sample_at);
    return std::exp(-age / to_microseconds(fade));
  }

  /// Returns the average, fading to 0 while no sample comes. `fade` is that of freshness().
  double decayed_value(Micros now, Micros fade) const { return value * freshness(now, fade); }

  /// Returns the weight of this average against a more general one, from 0 (included) to 1 (excluded): few or
  /// old samples prove little. `fade` is that of freshness().
  double confidence(Micros now, Micros fade) const {
    const double evidence = samples * freshness(now, fade);
    return evidence / (evidence + 1);
  }
};

/// The weighted mean of values that are all at hand, with no regard to time.
struct WeightedMean {
  /// The least total weight that gives a mean. A quotient of two tiny sums would be noise.
  static constexpr double min_total_weight = 1e-3;

  /// The sum of all values, each times its weight.
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
