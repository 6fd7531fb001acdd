#include "tiers/store/advertised_entries.h"

#include <algorithm>

namespace lemonroute::tiers {

const std::vector<AdvertisedHolder>& AdvertisedEntries::holders(KeyId key) const {
  static const std::vector<AdvertisedHolder> none;
  const auto at = entries_.find(key);
  return at == entries_.end() ? none : at->second.cache_entry.holders;
}

void AdvertisedEntries::set(CacheEntry cache_entry) {
  const auto at = entries_.find(cache_entry.key);
  if (at == entries_.end() && cache_entry.holders.empty())
    return;
  const auto key = cache_entry.key;
  const bool withdraws =
      at != entries_.end() && !at->second.cache_entry.holders.empty() && cache_entry.holders.empty();
  // If there are too many withdrawals to advertise, the entry expires at the receivers with its lease.
  if (withdraws && withdrawn_ >= max_withdrawn_) {
    entries_.erase(at);
    return;
  }
  if (withdraws)
    ++withdrawn_;
  if (at != entries_.end() && at->second.cache_entry.holders.empty() && !cache_entry.holders.empty())
    --withdrawn_;
  auto& entry = at == entries_.end() ? entries_[key] : at->second;
  if (at == entries_.end() || significantly_differ(cache_entry.holders, entry.cache_entry.holders))
    entry.pending = true, entry.repeats_left = change_repeats;
  entry.cache_entry = std::move(cache_entry);
}

void AdvertisedEntries::keep_only(const std::function<bool(KeyId)>& is_kept) {
  std::erase_if(entries_, [&](const auto& item) {
    if (is_kept(item.first))
      return false;
    if (item.second.cache_entry.holders.empty())
      --withdrawn_;
    return true;
  });
}

std::vector<const CacheEntry*> AdvertisedEntries::due(Micros now, Micros refresh_interval,
                                                      std::size_t max_count) const {
  std::vector<const Entry*> due_entries;
  for (const auto& [key, entry] : entries_)
    if (entry.pending ||
        now - entry.sent_at >= (entry.repeats_left ? change_repeat_interval : refresh_interval))
      due_entries.push_back(&entry);
  const auto is_due_before = [](const Entry* a, const Entry* b) {
    if (a->pending != b->pending)
      return a->pending;
    if (!a->repeats_left != !b->repeats_left)
      return a->repeats_left > 0;
    if (!a->pending && a->sent_at != b->sent_at)
      return a->sent_at < b->sent_at;
    return a->cache_entry.weight > b->cache_entry.weight;
  };
  const auto count = std::min(max_count, due_entries.size());
  std::partial_sort(due_entries.begin(), due_entries.begin() + static_cast<std::ptrdiff_t>(count),
                    due_entries.end(), is_due_before);
  std::vector<const CacheEntry*> cache_entries;
  for (std::size_t i = 0; i < count; ++i)
    cache_entries.push_back(&due_entries[i]->cache_entry);
  return cache_entries;
}

void AdvertisedEntries::mark_sent(KeyId key, Micros now) {
  const auto at = entries_.find(key);
  if (at == entries_.end())
    return;
  if (!at->second.pending && at->second.repeats_left)
    --at->second.repeats_left;
  if (at->second.cache_entry.holders.empty() && at->second.repeats_left == 0) {
    entries_.erase(at);
    --withdrawn_;
    return;
  }
  at->second.pending = false;
  at->second.sent_at = now;
}

std::vector<const CacheEntry*> AdvertisedEntries::heaviest(std::size_t shard, std::size_t max_count,
                                                           std::uint32_t min_tokens) const {
  std::vector<const CacheEntry*> cache_entries;
  for (const auto& [key, entry] : entries_)
    if (shard_of(key) == shard && !entry.cache_entry.holders.empty() &&
        entry.cache_entry.holders.front().tokens >= min_tokens)
      cache_entries.push_back(&entry.cache_entry);
  const auto count = std::min(max_count, cache_entries.size());
  std::partial_sort(cache_entries.begin(), cache_entries.begin() + static_cast<std::ptrdiff_t>(count),
                    cache_entries.end(), [](auto* a, auto* b) { return a->weight > b->weight; });
  cache_entries.resize(count);
  return cache_entries;
}

std::vector<KeyId> AdvertisedEntries::keys() const {
  std::vector<KeyId> keys;
  for (const auto& [key, entry] : entries_)
    keys.push_back(key);
  return keys;
}

}  // namespace lemonroute::tiers
