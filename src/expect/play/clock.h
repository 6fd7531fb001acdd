// The clock of a played case: it stands still until the case moves it.
#pragma once

#include "core/types.h"

namespace lemonroute::expect {

// The case's zero on the router's clock, so that what came before the case has positive times as well.
inline constexpr Micros case_zero = std::chrono::hours(24 * 365);

class StoppedClock : public Clock {
 public:
  Micros at{};
  Micros now() const override { return at; }
};

}  // namespace lemonroute::expect
