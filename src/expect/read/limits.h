// Bounds on what a case may say, so that reading and playing one stays within memory and time.
#pragma once

#include <cstddef>
#include <cstdint>

#include "lemonroute/scheduler.h"

namespace lemonroute::expect {

inline constexpr Micros farthest = std::chrono::hours(24);     // from the case's zero, either way
inline constexpr Micros longest_span = std::chrono::hours(1);  // of a budget, a prefill or a release
inline constexpr std::size_t most_steps = 20000;
inline constexpr std::int64_t most_seeds = 100000;
inline constexpr double most_tokens = 1e7;  // of a prompt

}  // namespace lemonroute::expect
