// Who a pool belongs to, and since which decision.
#pragma once

#include <compare>
#include <cstdint>

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

using RegionId = std::uint32_t;  // a region's place in name order

// The epoch of a pool's owner. No two proposals have the same one.
struct Ballot {
  std::uint64_t counter = 0;  // 0: the pool has never moved
  RegionId region = 0;        // of the proposer
  std::uint64_t by = 0;       // its process
  auto operator<=>(const Ballot&) const = default;

  // Most by which a counter may run ahead of the one known. Guards against a damaged or hostile payload that
  // would take the last number there is; no fleet makes so many moves between two words from one of its
  // routers.
  static constexpr std::uint64_t most_leap = 1 << 20;
};

struct Owned {
  Ballot ballot;
  RegionId owner = 0;
  Micros since{};  // when that owner was first given the pool under this ballot, on this process's clock; 0:
                   // not yet, or never moved

  // Takes what another one knows, if that is newer or knows better since when. Order and repeats don't
  // matter. False: it was left out, for its leap.
  bool learn(const Owned& other) {
    if (other.ballot.counter > ballot.counter + Ballot::most_leap)
      return false;
    if (other.ballot > ballot)
      *this = other;
    else if (other.ballot == ballot && other.since > Micros(0) && (since == Micros(0) || other.since < since))
      since = other.since;
    return true;
  }
};

}  // namespace lemonroute::pools
