// The owner of a pool, and the ballot under which the pool was given to it.
#pragma once

#include <compare>
#include <cstdint>

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

using RegionId = std::uint32_t;  ///< index of a region in name order

/// Epoch of a pool's ownership. No two proposals have the same ballot.
struct Ballot {
  std::uint64_t counter = 0;      ///< 0: the pool has never migrated
  RegionId proposer_region = 0;   ///< region of the proposer
  std::uint64_t proposer_id = 0;  ///< identifies the proposing process
  auto operator<=>(const Ballot&) const = default;

  /// Largest accepted increase of a counter in one message. Without this limit, a damaged or hostile payload
  /// could use up the last counter that exists. No fleet makes so many migrations between two messages from
  /// one of its routers.
  static constexpr std::uint64_t max_counter_increase = 1 << 20;
};

/// Owner of a pool under a ballot.
struct Ownership {
  Ballot ballot;        ///< the newest ballot known
  RegionId owner = 0;   ///< region that the ballot names
  Micros granted_at{};  ///< when a grantor first granted the pool to the owner under this ballot, on this
                        ///< process's clock; 0: not granted yet, or the pool has never migrated

  /// Merges what another process knows: a newer ballot, or an earlier `granted_at` of the same ballot. The
  /// result does not depend on the order or the repetition of calls. Returns false if `other` was ignored,
  /// which happens if its counter exceeds the known one by more than `Ballot::max_counter_increase`.
  bool learn(const Ownership& other) {
    if (other.ballot.counter > ballot.counter + Ballot::max_counter_increase)
      return false;
    if (other.ballot > ballot)
      *this = other;
    else if (other.ballot == ballot && other.granted_at > Micros(0) &&
             (granted_at == Micros(0) || other.granted_at < granted_at))
      granted_at = other.granted_at;
    return true;
  }
};

}  // namespace lemonroute::pools
