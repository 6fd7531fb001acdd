#include "tiers/store/received_entries.h"

#include <algorithm>

namespace lemonroute::tiers {

bool ReceivedEntries::put(const CacheEntry& cache_entry, NameId sender, Micros now,
                          const std::function<double(NameId)>& trust) {
  auto& entries = shards_[shard_of(cache_entry.key)];
  const auto at = entries.find(cache_entry.key);
  if (at != entries.end()) {
    auto& entry = at->second;
    if (entry.sender != sender && trust(sender) < trust(entry.sender))
      return false;
    if (cache_entry.holders.empty()) {
      entries.erase(at);
      return true;
    }
    const bool changed = entry.sender != sender || significantly_differ(entry.holders, cache_entry.holders);
    entry = {cache_entry.holders, cache_entry.weight, sender, now};
    return changed;
  }
  if (cache_entry.holders.empty())
    return false;
  // Heads have the same bound, so a shard is full only if a head exceeds it or the head has changed.
  if (entries.size() >= max_keys_per_shard_) {
    const auto lightest = std::min_element(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
      return std::pair(a.second.weight, a.first) < std::pair(b.second.weight, b.first);
    });
    ++evicted_;
    if (lightest->second.weight >= cache_entry.weight)
      return false;
    entries.erase(lightest);
  }
  entries[cache_entry.key] = {cache_entry.holders, cache_entry.weight, sender, now};
  return true;
}

bool ReceivedEntries::expire(Micros before) {
  std::size_t removed = 0;
  for (auto& entries : shards_)
    removed += std::erase_if(entries, [&](const auto& one) { return one.second.received_at < before; });
  return removed > 0;
}

const ReceivedEntries::Entry* ReceivedEntries::find(KeyId key) const {
  const auto& entries = shards_[shard_of(key)];
  const auto at = entries.find(key);
  return at == entries.end() ? nullptr : &at->second;
}

std::vector<CacheEntry> ReceivedEntries::entries_after(
    KeyId cursor, std::size_t max_count, const std::function<bool(std::size_t)>& matches) const {
  std::vector<CacheEntry> cache_entries;
  for (auto shard = shard_of(cursor); shard < shard_count; ++shard) {
    if (!matches(shard))
      continue;
    for (auto at = shards_[shard].upper_bound(cursor); at != shards_[shard].end(); ++at) {
      if (cache_entries.size() == max_count)
        return cache_entries;
      cache_entries.push_back({at->first, at->second.weight, at->second.holders});
    }
  }
  return cache_entries;
}

std::size_t ReceivedEntries::size() const {
  std::size_t count = 0;
  for (const auto& entries : shards_)
    count += entries.size();
  return count;
}

}  // namespace lemonroute::tiers
