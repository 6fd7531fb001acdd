// Facts that are still to be told, each a bounded number of times, those told least first. One fact of a
// member replaces the one before it.
#pragma once

#include <vector>

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

class News {
 public:
  void add(Entry& entry);
  void drop(const Entry& entry);  // it is forgotten
  bool empty() const { return waiting_ == 0; }
  // Up to limits::offered, as they stand now. Those that found room count as told: told(n), for the first n
  // of them.
  const std::vector<Entry*>& next(std::size_t members);
  void told(std::size_t count);

  static std::size_t times(std::size_t members);  // each is told

 private:
  struct Item {
    Entry* entry;
    std::uint64_t number;
  };
  bool stale(const Item& item) const { return item.entry->news != item.number; }

  std::vector<std::vector<Item>> by_times_;  // the newest at the back
  std::vector<Item> offered_;
  std::vector<std::size_t> offered_times_;
  std::vector<Entry*> offer_;
  std::uint64_t numbers_ = 0;
  std::size_t waiting_ = 0, most_times_ = 1;
};

}  // namespace lemonroute::peers::membership
