/// \file
/// Conversions between durations and numbers, and sanitizing of numbers that other processes report. The
/// functions are stateless and thread-safe.
#pragma once

#include <algorithm>
#include <cmath>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// The longest duration that from_microseconds() returns, in microseconds: about 67 minutes.
inline constexpr double max_microseconds = 4e9;

/// The largest number that clamp_reported_value() returns, in the unit of the reported value.
inline constexpr double max_reported_value = 1e7;

/// Returns a duration as a number of microseconds.
inline double to_microseconds(Micros duration) {
  return static_cast<double>(duration.count());
}

/// Returns a number of microseconds as a duration, without the fraction: 0 for a negative number, and at most
/// max_microseconds. `microseconds` must not be NaN: the conversion to an integer would be undefined
/// behavior.
inline Micros from_microseconds(double microseconds) {
  const double clamped = std::clamp(microseconds, 0.0, max_microseconds);
  return Micros(static_cast<Micros::rep>(clamped));
}

/// Returns a number that another process reported, limited to max_reported_value. Returns 0 for NaN, infinity
/// and negative numbers, which would otherwise corrupt every average that they are added to.
inline double clamp_reported_value(float value) {
  const bool usable = std::isfinite(value) && value > 0;
  return usable ? std::min<double>(value, max_reported_value) : 0;
}

}  // namespace lemonroute::estimation
