/// \file
/// The cache epochs of all devices that this router knows.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "tiers/epoch/cache_epoch.h"
#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// Cache epochs from the router's own endpoint list, from losses it noticed and from reports of peers. Holds
/// a bounded number of devices; a listed device displaces an unlisted one.
class EpochTable {
 public:
  /// `loss_counter` is the counter of this router's site.
  EpochTable(const IdHasher& hasher, unsigned loss_counter, std::size_t max_devices)
      : hasher_(hasher), loss_counter_(loss_counter), max_devices_(max_devices) {}

  /// Records the start time of a listed device, in Unix us. Returns whether the epoch advanced.
  bool update_listed(NameId device, std::uint64_t start, Micros now);
  /// Records a loss that this router noticed. An epoch that advanced less than 2 s ago already counts that
  /// loss. Returns whether the epoch advanced.
  bool record_loss(NameId device, Micros now);
  /// Merges an epoch reported by a peer. Returns whether the epoch advanced.
  bool merge_report(NameId device, const CacheEpoch& epoch, Micros now);
  /// Marks all devices as unlisted, before a full list is applied.
  void unlist_all();

  /// Returns nullptr for an unknown device.
  const CacheEpoch* find(NameId device) const;
  /// Whether a sighting from this epoch is valid. An epoch later than the known one is not: only a router
  /// that lists a device can give hints for it, and it learns of the epoch together with the hint.
  bool is_current(NameId device, const CacheEpoch& epoch) const;

  /// When the core last had to drop its own estimates for the device because peers reported a loss; 0: never.
  /// To limit the damage by a lying peer with a valid key, a device is invalidated at most once in 10 s, all
  /// devices together 16 times and then once a second, and none for 5 min after node counts disproved two
  /// reported losses.
  Micros invalidated_at(NameId device) const;
  /// Records that a node's own count disproved a reported loss.
  void record_disproof(NameId device, Micros now);
  /// Whether peers' reports invalidated the device in the last 10 s.
  bool recently_invalidated(NameId device, Micros now) const;

  /// Anti-entropy digest: equal where all epochs are equal.
  std::uint64_t digest() const { return digest_; }
  /// Number of known devices.
  std::size_t size() const { return devices_.size(); }
  /// Returns up to `max_count` epochs after `cursor`, wrapping around, and advances the cursor.
  std::vector<std::pair<NameId, CacheEpoch>> slice(NameId& cursor, std::size_t max_count) const;

  /// Counters since the start of the process.
  struct Counts {
    std::uint64_t advanced = 0;                  ///< epochs that advanced
    std::uint64_t invalidations = 0;             ///< invalidations because of peers' reports
    std::uint64_t suppressed_invalidations = 0;  ///< the same, suppressed by the limits
    std::uint64_t disproved = 0;                 ///< reported losses that node counts disproved
    std::uint64_t refused = 0;                   ///< updates of devices for which there was no room
  };
  /// Returns the counters.
  const Counts& counts() const { return counts_; }

 private:
  struct DeviceState {
    CacheEpoch epoch;
    std::optional<std::uint64_t> listed_start;  // none: not in the current list
    Micros advanced_at{}, invalidated_at{};
  };
  DeviceState* find_or_add(NameId device, bool listed);
  bool advance(NameId device, DeviceState& state, const CacheEpoch& epoch, Micros now);
  void invalidate(DeviceState& state, Micros now);
  IdHasher hasher_;
  unsigned loss_counter_;
  std::size_t max_devices_;
  std::unordered_map<NameId, DeviceState> devices_;
  std::uint64_t digest_ = 0;
  double allowance_ = 16;  // invalidations
  Micros refilled_at_{}, first_update_at_{}, suspicious_until_{};
  bool has_updates_ = false;
  unsigned disproofs_ = 0;
  Counts counts_;
};

}  // namespace lemonroute::tiers
