#include "tiers/store/vote_table.h"

#include <algorithm>

namespace lemonroute::tiers {

void VoteTable::release(Shard& shard, NameId contributor) {
  const auto at = shard.by.find(contributor);
  if (at != shard.by.end() && --at->second == 0)
    shard.by.erase(at);
}

void VoteTable::erase(Shard& shard, KeyId key) {
  const auto at = shard.rows.find(key);
  for (const auto& entry : at->second.entries())
    release(shard, entry.contributor);
  shard.rows.erase(at);
  touched_.insert(key);
}

// The least worth goes, and only for one that is worth more.
bool VoteTable::make_room(Shard& shard, const Row& newcomer) {
  if (shard.rows.size() < most_)
    return true;
  const auto least = std::min_element(shard.rows.begin(), shard.rows.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.weight(), a.first) < std::pair(b.second.weight(), b.first);
  });
  ++counts_.evicted;
  if (least->second.weight() >= newcomer.weight())
    return false;
  erase(shard, least->first);
  return true;
}

// What the contributor itself has not said for longest goes: it has forgotten that key. What it has just said
// stays.
bool VoteTable::make_room_of(Shard& shard, NameId contributor, Micros now) {
  auto oldest = shard.rows.end();
  Micros at = now - std::chrono::seconds(1);
  for (auto row = shard.rows.begin(); row != shard.rows.end(); ++row) {
    const auto* vote = row->second.find(contributor);
    if (vote && vote->at < at)
      oldest = row, at = vote->at;
  }
  if (oldest == shard.rows.end())
    return false;
  touched_.insert(oldest->first);
  release(shard, contributor);
  oldest->second.erase(contributor);
  if (oldest->second.entries().empty())
    shard.rows.erase(oldest);
  return true;
}

void VoteTable::put(KeyId key, NameId contributor, Vote vote) {
  ++counts_.votes;
  auto& shard = shards_[shard_of(key)];
  Row::Entry entry{names_.mix(key, contributor), contributor, std::move(vote)};
  auto at = shard.rows.find(key);
  const bool stands = at != shard.rows.end() && at->second.find(contributor);
  const auto by = shard.by.find(contributor);
  if (!stands && by != shard.by.end() && by->second >= quota()) {
    ++counts_.over_quota;
    if (!make_room_of(shard, contributor, entry.vote.at))
      return;
    at = shard.rows.find(key);
  }
  if (at == shard.rows.end()) {
    if (entry.vote.holders.empty())
      return;  // takes back what is not here
    Row row;
    row.put(std::move(entry));
    if (!make_room(shard, row))
      return;
    shard.rows.emplace(key, std::move(row));
    ++shard.by[contributor];
    touched_.insert(key);
    return;
  }
  auto& row = at->second;
  const auto last = row.entries().size() == Row::most ? row.last() : 0;
  if (row.put(std::move(entry)) != Row::Put::taken)
    return;
  touched_.insert(key);
  if (stands)
    return;
  ++shard.by[contributor];
  if (last != 0)
    release(shard, last);
}

void VoteTable::expire(Micros before) {
  for (auto& shard : shards_)
    for (auto at = shard.rows.begin(); at != shard.rows.end();) {
      const auto whose = at->second.expire(before);
      counts_.expired += whose.size();
      for (const auto name : whose)
        release(shard, name);
      if (!whose.empty())
        touched_.insert(at->first);
      at = at->second.entries().empty() ? shard.rows.erase(at) : std::next(at);
    }
}

const Row* VoteTable::find(KeyId key) const {
  const auto& rows = shards_[shard_of(key)].rows;
  const auto at = rows.find(key);
  return at == rows.end() ? nullptr : &at->second;
}

std::vector<KeyId> VoteTable::take_touched() {
  std::vector<KeyId> keys(touched_.begin(), touched_.end());
  touched_.clear();
  return keys;
}

std::size_t VoteTable::size() const {
  std::size_t all = 0;
  for (const auto& shard : shards_)
    all += shard.rows.size();
  return all;
}

}  // namespace lemonroute::tiers
