/// \file
/// This router's trust in its peers, and the hints that were found to be false.
#pragma once

#include <map>
#include <unordered_map>

#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// Trust in each peer, judged only by the cache hits that nodes themselves count. Trust is not shared with
/// peers, so a liar cannot reduce the trust in others.
class Trust {
 public:
  static constexpr double initial = 0.5;    ///< trust in a peer that was never judged
  static constexpr double min_trust = 0.1;  ///< below this, nothing from the peer is used
  /// Returns 0, or a value from `min_trust` to 1. Half of the distance to `initial` decays in ten minutes.
  double trust_in(NameId peer, Micros now) const;
  /// A node's count confirmed a hint of the peer.
  void record_confirmed(NameId peer, Micros now);
  /// A node's count contradicted a hint; `factor` is 0.5 for the contributor and 0.9 for the collector that
  /// forwarded it.
  void record_contradicted(NameId peer, Micros now, double factor);
  /// Number of peers judged.
  std::size_t size() const { return scores_.size(); }
  /// Number of peers below `min_trust`.
  std::size_t distrusted_count(Micros now) const;

 private:
  struct Score {
    double trust = initial;
    Micros updated_at{};
  };
  static double decayed(const Score& score, Micros now);
  Score& find_or_add(NameId peer);
  std::unordered_map<NameId, Score> scores_;  // bounded by max_scores
};

/// False hints: pairs of key and device that a node's count has recently disproved.
class FalseHints {
 public:
  /// Suppresses the hint until the given time.
  void add(KeyId key, NameId device, Micros until);
  /// Whether the hint is suppressed.
  bool contains(KeyId key, NameId device, Micros now) const;
  /// Removes the hints whose time is over.
  void expire(Micros now);
  /// Number of suppressed hints.
  std::size_t size() const { return expiries_.size(); }

 private:
  std::map<std::pair<KeyId, NameId>, Micros> expiries_;  // bounded by max_false_hints
};

}  // namespace lemonroute::tiers
