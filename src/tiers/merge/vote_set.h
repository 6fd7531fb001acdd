/// \file
/// The votes for one key.
#pragma once

#include <compare>
#include <vector>

#include "tiers/epoch/cache_epoch.h"
#include "tiers/sharding/id_hasher.h"

namespace lemonroute::tiers {

/// A device that, according to a contributor, holds a key's KV cache.
struct Holder {
  NameId device = 0;            ///< the device
  CacheEpoch epoch{};           ///< its cache epoch when the key was seen there
  std::uint32_t tokens = 0;     ///< cached tokens, from the beginning of the prompt
  std::uint8_t confidence = 0;  ///< 255: the contributor is certain
  Micros seen_at{};             ///< last sighting, on this router's clock
};

/// Orders the votes of one contributor.
struct VoteStamp {
  std::uint64_t process_start = 0;  ///< start of the contributor's process, in Unix us
  std::uint64_t sequence = 0;       ///< sequence number of the payload
  /// Compares the process start, then the sequence number.
  friend auto operator<=>(const VoteStamp&, const VoteStamp&) = default;
};

/// What one contributor says about a key.
struct Vote {
  VoteStamp stamp;              ///< orders it among the contributor's votes
  std::vector<Holder> holders;  ///< up to 2; empty: the vote is withdrawn
  std::uint8_t weight = 0;      ///< logarithmic weight of the key
  Micros received_at{};         ///< when it last arrived here
};

/// The last vote of each of a few contributors. Merging is commutative, associative and idempotent, so the
/// order and repetition of datagrams do not matter. If there are more contributors than places, a hash of the
/// contributor and the key decides who has one, so that no claim can displace the votes of others.
class VoteSet {
 public:
  static constexpr std::size_t max_votes = 4;  ///< contributors with a vote
  /// A contributor's vote.
  struct Entry {
    std::uint64_t rank = 0;  ///< IdHasher::mix(key, contributor); the lowest ranks have a place
    NameId contributor = 0;  ///< whose vote it is
    Vote vote;               ///< the vote
  };
  /// What came of a vote: stored, no newer than the stored one, or without a place.
  enum class PutResult { stored, not_newer, outranked };
  /// Stores the vote if it is newer than the contributor's last one.
  PutResult put(Entry entry);
  /// Puts all votes of the other set.
  void merge(const VoteSet& other);
  /// Removes the votes that last arrived before the given time; returns their contributors.
  std::vector<NameId> expire(Micros before);
  /// All votes, by rank.
  const std::vector<Entry>& entries() const { return entries_; }
  /// Returns the contributor's vote, or nullptr.
  const Vote* find(NameId contributor) const;
  /// Removes the contributor's vote.
  void erase(NameId contributor);
  /// The contributor with the last rank; the set must not be empty.
  NameId last() const { return entries_.back().contributor; }
  /// The weight of the key when the table is full: the second largest weight of a vote, or half of the only
  /// one, so that the claim of a single contributor counts little.
  double weight() const;

 private:
  std::vector<Entry> entries_;
};

/// Whether both are equal apart from the times of arrival.
bool same_votes(const VoteSet& a, const VoteSet& b);

}  // namespace lemonroute::tiers
