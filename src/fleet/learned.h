// Figures that one router learns from its own samples, and that fade when no new ones come. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "lemonroute/scheduler.h"

namespace lemonroute::fleet {

inline double us(Micros t) {
  return static_cast<double>(t.count());
}
inline Micros micros(double t) {
  return Micros(static_cast<Micros::rep>(std::clamp(t, 0.0, 4e9)));
}  // 0 to 67 min

// A number from the wire; what is none, or absurd, counts as 0 or as the most.
inline double sane(float value) {
  return std::isfinite(value) && value > 0 ? std::min<double>(value, 1e7) : 0;
}

inline std::uint64_t mix(std::uint64_t x) {  // the same in every process
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
inline double unit(std::uint64_t x) {
  return static_cast<double>(x >> 11) * 0x1p-53;
}  // 0 to 1, 1 excluded

inline constexpr double learn = 0.25;       // usual weight of a new sample
inline constexpr double most_samples = 20;  // more make a learned figure no surer

struct Learned {
  double value = 0;
  Micros at{};  // of the last sample
  bool known = false;
  double samples = 0;
  // `weight`: 0 to 1, of the sample against what was known; `evidence`: how much of a whole sample it is.
  void add(double sample, Micros now, double weight = learn, double evidence = 1) {
    value = known ? value + weight * (sample - value) : sample;
    at = now;
    known = true;
    samples = std::min(samples + evidence, most_samples);
  }
  double fresh(Micros now, Micros fade) const { return known ? std::exp(-us(now - at) / us(fade)) : 0; }
  // The value, fading to 0 while no sample comes.
  double faded(Micros now, Micros fade) const { return value * fresh(now, fade); }
  // What weight it has against what is usual, 0 to 1: few or old samples prove little.
  double trust(Micros now, Micros fade) const {
    const double evidence = samples * fresh(now, fade);
    return evidence / (evidence + 1);
  }
};

struct Mean {
  double sum = 0, total = 0;
  void add(double value, double weight = 1) {
    sum += weight * value;
    total += weight;
  }
  double value() const { return total > 1e-3 ? sum / total : 0; }  // 0 where nothing weighs
};

}  // namespace lemonroute::fleet
