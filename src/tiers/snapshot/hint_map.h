/// \file
/// The hints in the form in which the serving loop reads them.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/fleet_view.h"
#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// An immutable, bounded snapshot of all hints, built on the peers' thread.
class HintMap : public FleetView {
 public:
  /// One device of a key.
  struct Hint {
    std::uint32_t node = 0;  ///< index into the node names
    float tokens = 0;        ///< cached tokens, from the beginning of the prompt
    float confidence = 0;    ///< 0 to 1
  };
  /// Creates a map without hints; keeps a copy of the hasher.
  explicit HintMap(const IdHasher& hasher) : hasher_(hasher) {}

  /// Increases with each map.
  std::uint64_t version() const { return version_; }
  /// Returns the best locations first, at most max_hints. A key has the same few holders (at most
  /// max_holders) at all routers of a site, so that a popular shared prefix is prefilled at no more devices
  /// than that.
  std::vector<CacheLocation> cache_locations(Key session, Key shared) const override;
  /// Returns the last loss of the node's cache that peers reported; 0: none.
  Micros cache_lost_at(const Node& node) const override;
  /// Number of keys in both tiers.
  std::size_t keys() const { return hints_by_tier_[0].size() + hints_by_tier_[1].size(); }

 private:
  friend class HintMapBuilder;
  IdHasher hasher_;
  std::uint64_t version_ = 0;
  std::vector<std::string> nodes_;
  struct KeyHints {
    KeyId key = 0;
    std::size_t count = 0;
    std::array<Hint, max_holders> hints;
  };
  std::array<std::vector<KeyHints>, 2> hints_by_tier_;  // each sorted by key
  std::unordered_map<std::string, Micros> lost_at_;
};

}  // namespace lemonroute::tiers
