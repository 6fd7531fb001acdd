// Durations as numbers, and numbers from the wire. No I/O, no state.
#pragma once

#include <algorithm>
#include <cmath>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

inline double to_microseconds(Micros t) {
  return static_cast<double>(t.count());
}
inline Micros from_microseconds(double t) {
  return Micros(static_cast<Micros::rep>(std::clamp(t, 0.0, 4e9)));
}  // 0 to 67 min

// A number from the wire; what is none, or absurd, counts as 0 or as the most.
inline double clamp_reported_value(float value) {
  return std::isfinite(value) && value > 0 ? std::min<double>(value, 1e7) : 0;
}

}  // namespace lemonroute::estimation
