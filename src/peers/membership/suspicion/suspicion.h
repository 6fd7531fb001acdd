// Timeout of a suspicion: how long a suspected member has to refute it. The timeout grows with the logarithm
// of the number of members, since a suspicion and its refutation need that long to reach all of them. Each
// further router that suspects the member shortens it (Lifeguard's dogpile), but never below the minimum, so
// that a refutation always has time to arrive, whatever others claim.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "peers/membership/limits.h"
#include "peers/view.h"

namespace lemonroute::peers::membership {

/// Minimum suspicion timeout for a fleet of `members`.
Micros min_suspicion_timeout(std::size_t members, Micros period);

/// Timer of one suspicion.
class Suspicion {
 public:
  /// Starts a suspicion that the router `by` reported.
  Suspicion(Micros now, std::size_t members, Micros period, std::string_view by);
  /// A suspicion that rests on claims of other routers alone: its timeout is twice the minimum, and no
  /// confirmation shortens it.
  static Suspicion from_gone_claims(Micros now, std::size_t members, Micros period, std::string_view by);

  /// Counts a confirmation by the router `by`. False: that router is counted already, or enough have
  /// confirmed.
  bool confirm(std::string_view by);
  /// Moves the timer by the time for which this router was stalled and could not have heard the member.
  void postpone(Micros delay);
  /// When the member is declared gone.
  Micros deadline() const;
  /// Whether the member was told of the suspicion once more shortly before the deadline.
  bool final_ping_sent = false;

 private:
  Micros started_{}, min_timeout_{}, max_timeout_{};
  std::array<std::uint64_t, limits::max_confirmations + 1>
      reporters_{};  // hashes; the first is that of the first reporter
  std::size_t reporter_count_ = 1, confirmations_needed_ = 0;
};

}  // namespace lemonroute::peers::membership
