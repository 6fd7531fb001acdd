/// \file
/// The entries advertised by the heads of the shards, from which hints are made.
#pragma once

#include <array>
#include <functional>
#include <map>

#include "tiers/wire/payload.h"

namespace lemonroute::tiers {

/// Advertised entries by key, with a bounded number of keys per shard.
class ReceivedEntries {
 public:
  /// The entry of a key.
  struct Entry {
    std::vector<AdvertisedHolder> holders;  ///< best first
    std::uint8_t weight = 0;                ///< logarithmic weight of the key
    NameId sender = 0;                      ///< the router that advertised it
    Micros received_at{};                   ///< when it last arrived
  };
  explicit ReceivedEntries(std::size_t max_keys)
      : max_keys_per_shard_(std::max<std::size_t>(4, max_keys / shard_count)) {}
  /// Stores an entry; the stored one stays if its sender is trusted more. Returns whether hints have changed.
  bool put(const CacheEntry& cache_entry, NameId sender, Micros now,
           const std::function<double(NameId)>& trust);
  /// Removes entries that last arrived before the given time; returns whether there were any.
  bool expire(Micros before);
  /// Returns nullptr for an unknown key.
  const Entry* find(KeyId key) const;
  /// Calls `f(key, entry)` for all entries in the order of keys.
  template <class F>
  void each(F&& f) const {
    for (const auto& shard : shards_)
      for (const auto& [key, entry] : shard)
        f(key, entry);
  }
  /// Returns up to `max_count` entries after `cursor` in the order of keys, of the shards that match.
  std::vector<CacheEntry> entries_after(KeyId cursor, std::size_t max_count,
                                        const std::function<bool(std::size_t shard)>& matches) const;
  /// Number of entries.
  std::size_t size() const;
  /// Entries that were displaced or refused because a shard was full.
  std::uint64_t evicted() const { return evicted_; }

 private:
  std::size_t max_keys_per_shard_;
  std::array<std::map<KeyId, Entry>, shard_count> shards_;
  std::uint64_t evicted_ = 0;
};

}  // namespace lemonroute::tiers
