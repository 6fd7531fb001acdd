/// \file
/// The heaviest keys of a stream in bounded memory.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// Space-saving algorithm (Metwally, Agrawal, El Abbadi 2005) for weighted heavy hitters. A key that
/// displaces another starts with its count, so a heavy key is never missed and the error is bounded.
class HeavyHitters {
 public:
  /// `capacity`: number of keys that are counted at once.
  explicit HeavyHitters(std::size_t capacity) : capacity_(capacity) {}
  /// Adds to the count of a key; `amount` must be positive. Returns the key that was displaced, if any.
  std::optional<KeyId> add(KeyId key, double amount);
  /// Forgets a key.
  void erase(KeyId key);
  /// Halves all counts, so that keys that were heavy long ago are displaced.
  void halve();
  /// Returns an estimate from the true count to the true count + error(); 0: unknown.
  double count(KeyId key) const;
  /// Upper bound of the overestimate.
  double error() const { return error_; }
  /// Number of keys.
  std::size_t size() const { return counts_.size(); }

 private:
  std::size_t capacity_;
  std::unordered_map<KeyId, double> counts_;
  std::set<std::pair<double, KeyId>> order_;
  double error_ = 0;  // the largest count that a key has taken over
};

}  // namespace lemonroute::tiers
