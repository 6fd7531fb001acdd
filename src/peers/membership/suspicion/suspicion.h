// How long a suspected member has to refute. The time grows with the logarithm of the members, since both the
// suspicion and its refutation need so long to reach all; each further router that misses the member
// shortens it (Lifeguard's dogpile), down to the least, never below: a refutation always has time to arrive,
// whoever claims what.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "peers/membership/limits.h"
#include "peers/view.h"

namespace lemonroute::peers::membership {

Micros least_suspicion(std::size_t members, Micros period);

class Suspicion {
 public:
  Suspicion(Micros now, std::size_t members, Micros period, std::string_view by);
  // On others' word alone: twice the least, and no confirmation shortens it.
  static Suspicion by_hearsay(Micros now, std::size_t members, Micros period, std::string_view by);

  bool confirm(std::string_view by);  // true: it is another one's, and counts
  void shift(Micros late);            // this router slept: the member had no chance to be heard
  Micros deadline() const;
  bool called = false;  // it was told once more, shortly before the deadline

 private:
  Micros started_{}, least_{}, most_{};
  std::array<std::uint64_t, limits::confirmations + 1> by_{};  // hashes; the first is who began it
  std::size_t count_ = 1, wanted_ = 0;
};

}  // namespace lemonroute::peers::membership
