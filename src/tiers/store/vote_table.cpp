#include "tiers/store/vote_table.h"

#include <algorithm>

namespace lemonroute::tiers {

void VoteTable::decrement_votes(Shard& shard, NameId contributor) {
  const auto at = shard.vote_counts.find(contributor);
  if (at != shard.vote_counts.end() && --at->second == 0)
    shard.vote_counts.erase(at);
}

void VoteTable::erase(Shard& shard, KeyId key) {
  const auto at = shard.vote_sets.find(key);
  for (const auto& entry : at->second.entries())
    decrement_votes(shard, entry.contributor);
  shard.vote_sets.erase(at);
  changed_.insert(key);
}

// Displaces the lightest key, but only for a heavier one.
bool VoteTable::make_room(Shard& shard, const VoteSet& newcomer) {
  if (shard.vote_sets.size() < max_keys_per_shard_)
    return true;
  const auto lightest =
      std::min_element(shard.vote_sets.begin(), shard.vote_sets.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.weight(), a.first) < std::pair(b.second.weight(), b.first);
      });
  ++counts_.evicted;
  if (lightest->second.weight() >= newcomer.weight())
    return false;
  erase(shard, lightest->first);
  return true;
}

// Removes the vote that the contributor has not repeated for the longest time, because it no longer stores
// that key. Votes of the last second stay.
bool VoteTable::evict_oldest_vote(Shard& shard, NameId contributor, Micros now) {
  auto oldest = shard.vote_sets.end();
  Micros oldest_at = now - std::chrono::seconds(1);
  for (auto vote_set = shard.vote_sets.begin(); vote_set != shard.vote_sets.end(); ++vote_set) {
    const auto* vote = vote_set->second.find(contributor);
    if (vote && vote->received_at < oldest_at)
      oldest = vote_set, oldest_at = vote->received_at;
  }
  if (oldest == shard.vote_sets.end())
    return false;
  changed_.insert(oldest->first);
  decrement_votes(shard, contributor);
  oldest->second.erase(contributor);
  if (oldest->second.entries().empty())
    shard.vote_sets.erase(oldest);
  return true;
}

void VoteTable::put(KeyId key, NameId contributor, Vote vote) {
  ++counts_.votes;
  auto& shard = shards_[shard_of(key)];
  VoteSet::Entry entry{hasher_.mix(key, contributor), contributor, std::move(vote)};
  auto at = shard.vote_sets.find(key);
  const bool has_vote = at != shard.vote_sets.end() && at->second.find(contributor);
  const auto vote_count = shard.vote_counts.find(contributor);
  if (!has_vote && vote_count != shard.vote_counts.end() && vote_count->second >= quota()) {
    ++counts_.over_quota;
    if (!evict_oldest_vote(shard, contributor, entry.vote.received_at))
      return;
    at = shard.vote_sets.find(key);
  }
  if (at == shard.vote_sets.end()) {
    if (entry.vote.holders.empty())
      return;  // withdraws an unknown key
    VoteSet vote_set;
    vote_set.put(std::move(entry));
    if (!make_room(shard, vote_set))
      return;
    shard.vote_sets.emplace(key, std::move(vote_set));
    ++shard.vote_counts[contributor];
    changed_.insert(key);
    return;
  }
  auto& vote_set = at->second;
  const auto displaced = vote_set.entries().size() == VoteSet::max_votes ? vote_set.last() : 0;
  if (vote_set.put(std::move(entry)) != VoteSet::PutResult::stored)
    return;
  changed_.insert(key);
  if (has_vote)
    return;
  ++shard.vote_counts[contributor];
  if (displaced != 0)
    decrement_votes(shard, displaced);
}

void VoteTable::expire(Micros before) {
  for (auto& shard : shards_)
    for (auto at = shard.vote_sets.begin(); at != shard.vote_sets.end();) {
      const auto contributors = at->second.expire(before);
      counts_.expired += contributors.size();
      for (const auto contributor : contributors)
        decrement_votes(shard, contributor);
      if (!contributors.empty())
        changed_.insert(at->first);
      at = at->second.entries().empty() ? shard.vote_sets.erase(at) : std::next(at);
    }
}

const VoteSet* VoteTable::find(KeyId key) const {
  const auto& vote_sets = shards_[shard_of(key)].vote_sets;
  const auto at = vote_sets.find(key);
  return at == vote_sets.end() ? nullptr : &at->second;
}

std::vector<KeyId> VoteTable::take_changed() {
  std::vector<KeyId> keys(changed_.begin(), changed_.end());
  changed_.clear();
  return keys;
}

std::size_t VoteTable::size() const {
  std::size_t count = 0;
  for (const auto& shard : shards_)
    count += shard.vote_sets.size();
  return count;
}

}  // namespace lemonroute::tiers
