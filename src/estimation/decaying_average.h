// Figures that one router learns from its own samples, and that fade when no new ones come. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "lemonroute/types.h"

namespace lemonroute::estimation {

inline constexpr double usual_sample_weight = 0.25;  // usual weight of a new sample
inline constexpr double max_samples = 20;            // more make a learned figure no surer

struct DecayingAverage {
  double value = 0;
  Micros last_sample_at{};  // of the last sample
  bool known = false;
  double samples = 0;
  // `weight`: 0 to 1, of the sample against what was known; `evidence`: how much of a whole sample it is.
  void add(double sample, Micros now, double weight = usual_sample_weight, double evidence = 1) {
    value = known ? value + weight * (sample - value) : sample;
    last_sample_at = now;
    known = true;
    samples = std::min(samples + evidence, max_samples);
  }
  double freshness(Micros now, Micros fade) const {
    return known ? std::exp(-to_microseconds(now - last_sample_at) / to_microseconds(fade)) : 0;
  }
  // The value, fading to 0 while no sample comes.
  double decayed_value(Micros now, Micros fade) const { return value * freshness(now, fade); }
  // What weight it has against what is usual, 0 to 1: few or old samples prove little.
  double confidence(Micros now, Micros fade) const {
    const double evidence = samples * freshness(now, fade);
    return evidence / (evidence + 1);
  }
};

struct WeightedMean {
  double sum = 0, total_weight = 0;
  void add(double value, double weight = 1) {
    sum += weight * value;
    total_weight += weight;
  }
  double value() const { return total_weight > 1e-3 ? sum / total_weight : 0; }  // 0 where nothing weighs
};

}  // namespace lemonroute::estimation
