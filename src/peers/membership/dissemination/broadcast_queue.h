// Queue of facts to piggyback on datagrams. Each fact is transmitted a bounded number of times, those with
// the fewest transmissions first. A newer fact about a member replaces the queued one.
#pragma once

#include <vector>

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

/// The broadcast queue. Does not own the entries.
class BroadcastQueue {
 public:
  /// Queues the current fact of the entry, replacing an older one.
  void add(Entry& entry);
  /// Removes the entry from the queue; call it before the entry is destroyed.
  void drop(const Entry& entry);
  /// Whether nothing is queued.
  bool empty() const { return queued_ == 0; }
  /// Offers up to limits::facts_per_offer entries with their current facts, for a fleet of `members`. Each
  /// offer must be followed by mark_transmitted(n), where n is how many of them, from the front, fit into the
  /// datagram.
  const std::vector<Entry*>& offer(std::size_t members);
  /// Counts one transmission for each of the first `count` offered entries.
  void mark_transmitted(std::size_t count);

  /// How many times each fact is transmitted in a fleet of `members`.
  static std::size_t transmit_limit(std::size_t members);

 private:
  struct Item {
    Entry* entry;
    std::uint64_t id;
  };
  bool is_replaced(const Item& item) const { return item.entry->broadcast_id != item.id; }

  std::vector<std::vector<Item>> by_transmissions_;  // the newest at the back
  std::vector<Item> offered_items_;
  std::vector<std::size_t> offered_transmissions_;
  std::vector<Entry*> offered_entries_;
  std::uint64_t last_id_ = 0;
  std::size_t queued_ = 0, max_transmissions_ = 1;
};

}  // namespace lemonroute::peers::membership
