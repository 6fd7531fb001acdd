// What is known of one key: the votes of a few contributors, each the last one of its own. Merging is
// commutative, associative and idempotent, so that order and repeats of datagrams don't matter.
#pragma once

#include <compare>
#include <vector>

#include "tiers/generation/generation.h"
#include "tiers/names/names.h"

namespace lemonroute::tiers {

struct Holder {
  NameId device = 0;
  Generation generation{};
  std::uint32_t tokens = 0;     // of the prompt, from its beginning
  std::uint8_t confidence = 0;  // 255: its contributor is sure
  Micros seen{};                // on this router's clock
};

struct Stamp {
  std::uint64_t start = 0, number = 0;  // the contributor's process, and its payload
  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

struct Vote {
  Stamp stamp;
  std::vector<Holder> holders;  // up to 2; none: taken back
  std::uint8_t weight = 0;
  Micros at{};  // last said here
};

// A contributor's votes are ordered by their stamps, so that the last one holds. Which contributors have a
// place when there are more than four is settled by a hash of theirs and the key: nobody can vote others out
// by what it claims.
class Row {
 public:
  static constexpr std::size_t most = 4;
  struct Entry {
    std::uint64_t rank = 0;  // Names::mix(key, contributor)
    NameId contributor = 0;
    Vote vote;
  };
  enum class Put { taken, known, outranked };
  Put put(Entry entry);
  void merge(const Row& other);
  std::vector<NameId> expire(Micros before);  // votes not said since; returns whose they were
  const std::vector<Entry>& entries() const { return entries_; }  // by rank
  const Vote* find(NameId contributor) const;
  void erase(NameId contributor);
  NameId last() const { return entries_.back().contributor; }
  // What a key is worth in a full table: the second largest vote, or half of a lone one, so that one
  // contributor's claim counts little.
  double weight() const;

 private:
  std::vector<Entry> entries_;
};

bool same(const Row& a, const Row& b);  // in all but the times of arrival

}  // namespace lemonroute::tiers
