/// \file
/// The cache epoch of a device: the time between two losses of its KV cache. A sighting from an earlier epoch
/// is invalid at every tier as soon as the new epoch is known.
#pragma once

#include <cstdint>

namespace lemonroute::tiers {

/// A cache epoch. Epochs form a join semilattice, ordered by the start time and then by the losses noticed
/// since that start, which are counted in four counters. Each site increments one of the counters, so two
/// routers of one site that notice the same loss count it once, and two partitioned sites that each notice a
/// loss produce an epoch that is later than both.
struct CacheEpoch {
  std::uint64_t start = 0;  ///< start time of the device as listed, in Unix us; 0: earlier than any other
  std::uint64_t loss_counts = 0;  ///< four 16-bit loss counters
  /// Compares the start and all counters.
  friend bool operator==(const CacheEpoch&, const CacheEpoch&) = default;
};

/// Returns the least epoch that is not earlier than either.
CacheEpoch join(const CacheEpoch& a, const CacheEpoch& b);
/// Returns the epoch after one more loss in the given counter; a saturated counter stays as it is.
CacheEpoch after_loss(CacheEpoch epoch, unsigned counter);
/// Whether `a` is not earlier than `b`.
inline bool covers(const CacheEpoch& a, const CacheEpoch& b) {
  return join(a, b) == a;
}

}  // namespace lemonroute::tiers
