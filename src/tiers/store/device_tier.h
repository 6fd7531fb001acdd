/// \file
/// The device tier: what this router itself has seen cached at devices.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "tiers/merge/vote_set.h"
#include "tiers/store/heavy_hitters.h"

namespace lemonroute::tiers {

/// This router's own sightings of its heaviest keys, and the queue of keys to report to their collectors.
class DeviceTier {
 public:
  /// Starts without sightings.
  explicit DeviceTier(const Limits& limits) : limits_(limits), heavy_hitters_(limits.device_keys) {}

  /// Records a successful prefill: the device now caches this many tokens of the key.
  void record_cached(KeyId key, NameId device, const CacheEpoch& epoch, std::uint32_t tokens, Micros now);
  /// Records the cached tokens that the node counted at the start of a prefill. Removes the sighting if they
  /// are less than half of what it says.
  void record_hit(KeyId key, NameId device, std::uint32_t tokens, Micros now);
  /// Returns the sighting of the key at the device, or nullptr.
  const Holder* find(KeyId key, NameId device) const;
  /// Removes sightings that are too old or whose epoch is not current.
  void expire(const std::function<bool(NameId, const CacheEpoch&)>& is_current, Micros now);

  /// Returns up to `max_count` keys to report now: new and changed ones in order, then those due for a
  /// refresh. Marks them as sent.
  std::vector<KeyId> due(Micros now, std::size_t max_count);
  /// Schedules the matching keys again because their collectors have changed.
  void resend(const std::function<bool(KeyId)>& matches);
  /// Returns the holders, most recent sighting first; empty: withdrawn or unknown.
  const std::vector<Holder>& holders(KeyId key) const;
  /// Returns the logarithmic weight of the key.
  std::uint8_t weight(KeyId key) const;

  /// Number of keys.
  std::size_t size() const { return entries_.size(); }
  /// Keys displaced by others.
  std::uint64_t evicted() const { return evicted_; }
  /// Error bound of the token counts behind the weights.
  double error() const { return heavy_hitters_.error(); }

 private:
  struct Entry {
    std::vector<Holder> holders;
    Micros sent_at{};
    bool queued = false;
    unsigned repeats_left = 0;  // of a change
  };
  void mark_changed(KeyId key, Entry& entry);
  Limits limits_;
  HeavyHitters heavy_hitters_;
  std::unordered_map<KeyId, Entry> entries_;
  std::deque<KeyId> queue_;
  Micros halved_at_{}, swept_at_{};
  std::uint64_t evicted_ = 0;
};

/// Returns 8 * log2(1 + tokens), clamped to 0..255.
std::uint8_t weight_of(double tokens);

}  // namespace lemonroute::tiers
