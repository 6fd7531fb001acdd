/// \file
/// The entries that a head of shards advertises.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "tiers/wire/payload.h"

namespace lemonroute::tiers {

/// The selected holders of each key that this router heads. Changes are due first, by weight, then entries
/// whose last advertisement is oldest. A change is repeated a few times because datagrams get lost; a
/// withdrawal is repeated likewise and then removed.
class AdvertisedEntries {
 public:
  /// `max_keys`: of the tier; a quarter of it bounds the entries being withdrawn.
  explicit AdvertisedEntries(std::size_t max_keys) : max_withdrawn_(max_keys / 4) {}
  /// Returns the advertised holders; empty if there are none.
  const std::vector<AdvertisedHolder>& holders(KeyId key) const;
  /// Replaces the entry of the key; an entry without holders withdraws it.
  void set(CacheEntry cache_entry);
  /// Removes the entries of other keys, which another router heads now.
  void keep_only(const std::function<bool(KeyId)>& is_kept);
  /// Returns up to `max_count` entries that are due. The caller reports each one sent with `mark_sent`.
  std::vector<const CacheEntry*> due(Micros now, Micros refresh_interval, std::size_t max_count) const;
  /// Records that the entry was sent.
  void mark_sent(KeyId key, Micros now);
  /// Returns the heaviest entries of a shard whose best holder has at least `min_tokens`.
  std::vector<const CacheEntry*> heaviest(std::size_t shard, std::size_t max_count,
                                          std::uint32_t min_tokens) const;
  /// Returns all keys, including those being withdrawn.
  std::vector<KeyId> keys() const;
  /// Number of entries, including those being withdrawn.
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    CacheEntry cache_entry;
    Micros sent_at{};
    bool pending = false;       // changed since the last advertisement
    unsigned repeats_left = 0;  // of a change
  };
  std::map<KeyId, Entry> entries_;  // bounded by the vote table and max_withdrawn_
  std::size_t max_withdrawn_, withdrawn_ = 0;
};

}  // namespace lemonroute::tiers
