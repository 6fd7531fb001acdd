#include "expect/limits.h"

#include <algorithm>

namespace lemonroute::expect {

rules::Limits limits_of(const Settings& settings) {
  constexpr Micros longest_grace = std::chrono::milliseconds(500);
  rules::Limits limits;
  limits.drain_grace = std::min(longest_grace, std::max(settings.drain_grace, Micros(0)));
  if (settings.release_within > Micros(0))
    limits.held = settings.release_within;
  limits.cold_for = settings.cold_for;
  limits.cold_window = settings.fall_window;
  limits.cold_from = settings.cold_from;
  limits.cold_multiple = settings.fall_multiple;
  limits.siblings = settings.siblings;
  limits.most_attempts = std::min(limits.most_attempts, settings.max_attempts);
  return limits;
}

}  // namespace lemonroute::expect
