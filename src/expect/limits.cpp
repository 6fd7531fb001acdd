#include "expect/limits.h"

#include <algorithm>

namespace lemonroute::expect {

rules::Limits limits_of(const Settings& settings) {
  constexpr Micros longest_grace = std::chrono::milliseconds(500);
  rules::Limits limits;
  limits.drain_grace = std::min(longest_grace, std::max(settings.drain_grace, Micros(0)));
  if (settings.reservation_release_timeout > Micros(0))
    limits.held = settings.reservation_release_timeout;
  limits.cold_for = settings.slow_start_duration;
  limits.cold_window = settings.overload_window;
  limits.cold_from = settings.slow_start_initial_capacity;
  limits.cold_multiple = settings.overload_factor;
  limits.siblings = settings.router_count;
  limits.most_attempts = std::min(limits.most_attempts, settings.max_attempts);
  return limits;
}

}  // namespace lemonroute::expect
