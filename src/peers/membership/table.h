// All routers that are known, by name, and a digest of those that are there by which two tables are
// compared.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

class Table {
 public:
  using Entries = std::map<std::string, Entry, std::less<>>;

  explicit Table(std::size_t most) : most_(most) {}

  Entry* find(std::string_view name);
  const Entries& entries() const { return entries_; }
  // Null: there are too many, none of them gone. Else a new entry, of which nothing is set but what the fact
  // says.
  Entry* add(const Fact& fact, Micros now, std::string* evicted);
  void set(Entry& entry, const Fact& fact, Micros now);  // `since` moves when standing or process does
  void mark(Entry& entry, Standing standing, std::string by, Micros now);
  void set_unreachable(Entry& entry, bool unreachable);
  void forget(std::string_view name);

  std::size_t there() const { return there_; }  // alive or suspected
  std::size_t gone() const { return gone_; }    // given up, not those that left
  std::uint64_t version() const { return version_; }

  std::uint64_t digest() const;
  std::array<std::uint32_t, limits::buckets> buckets() const;
  static std::size_t bucket_of(std::string_view name);
  template <class F>
  void each_in(std::size_t bucket, F&& visit) {
    for (auto* entry : in_bucket_[bucket])
      visit(*entry);
  }

  // Members with a deadline that has passed, in order of name for equal times.
  void suspect(Entry& entry, Suspicion suspicion);
  void rearm(Entry& entry, Micros before);
  Entry* expired(Micros now);
  Entry* uncalled(Micros before);  // one whose deadline is near, and who was not told so
  void shift_suspicions(Micros late);

 private:
  void count(const Entry& entry, int sign);
  void clear_suspicion(Entry& entry);

  std::size_t most_;
  Entries entries_;
  std::array<std::uint64_t, limits::buckets> hashes_{};
  std::array<std::vector<Entry*>, limits::buckets> in_bucket_;
  std::set<std::pair<Micros, std::string>> deadlines_;
  std::size_t there_ = 0, gone_ = 0;
  std::uint64_t version_ = 1;
};

}  // namespace lemonroute::peers::membership
