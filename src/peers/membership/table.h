// The member table: all known routers by name, and a digest of the live ones by which routers compare tables.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

/// Owns the entries; pointers to an entry are valid until it is forgotten.
class Table {
 public:
  /// Entries by member name.
  using Entries = std::map<std::string, Entry, std::less<>>;

  /// Holds at most `most` members.
  explicit Table(std::size_t most) : max_members_(most) {}

  /// The entry of a member, or null.
  Entry* find(std::string_view name);
  /// All entries, in the order of their names.
  const Entries& entries() const { return entries_; }
  /// Adds a member. If the table is full, returns null and sets `evicted` to the name of the member that has
  /// been gone or left for longest, which the caller forgets before it tries again; `evicted` is unchanged if
  /// all members are live.
  Entry* add(const Fact& fact, Micros now, std::string* evicted);
  /// Replaces the entry's fact; `standing_since` moves if the standing or the process changes.
  void update(Entry& entry, const Fact& fact, Micros now);
  /// Changes the entry's standing, as reported by the router `by`.
  void set_standing(Entry& entry, Standing standing, std::string by, Micros now);
  /// Changes whether the member counts as unreachable from here.
  void set_unreachable(Entry& entry, bool unreachable);
  /// Removes a member.
  void remove(std::string_view name);

  /// Number of members that are alive or suspected.
  std::size_t live_count() const { return live_; }
  /// Number of members that were declared gone, without those that left.
  std::size_t gone_count() const { return gone_; }
  /// Changes with each change that is visible in the view.
  std::uint64_t version() const { return version_; }

  /// Digest of the live members, never 0.
  std::uint64_t digest() const;
  /// Digest of the live members of each bucket.
  std::array<std::uint32_t, limits::digest_buckets> buckets() const;
  /// The bucket of a name.
  static std::size_t bucket_of(std::string_view name);
  /// Calls `visit` for each entry of a bucket, live or not.
  template <class F>
  void for_each_in_bucket(std::size_t bucket, F&& visit) {
    for (auto* entry : in_bucket_[bucket])
      visit(*entry);
  }

  /// Starts the timer of a suspicion. Deadlines expire in their order, and by name if equal.
  void suspect(Entry& entry, Suspicion suspicion);
  /// Reorders the entry after its suspicion's deadline has changed from `previous_deadline`.
  void update_deadline(Entry& entry, Micros previous_deadline);
  /// The entry with the earliest deadline if that has passed, or null.
  Entry* expired(Micros now);
  /// An entry with a deadline up to `before` that was not sent its final ping, or null.
  Entry* awaiting_final_ping(Micros before);
  /// Moves all deadlines by `delay`.
  void postpone_suspicions(Micros delay);

 private:
  void update_totals(const Entry& entry, int sign);
  void clear_suspicion(Entry& entry);

  std::size_t max_members_;
  Entries entries_;
  std::array<std::uint64_t, limits::digest_buckets> hashes_{};
  std::array<std::vector<Entry*>, limits::digest_buckets> in_bucket_;
  std::set<std::pair<Micros, std::string>> deadlines_;
  std::size_t live_ = 0, gone_ = 0;
  std::uint64_t version_ = 1;
};

}  // namespace lemonroute::peers::membership
