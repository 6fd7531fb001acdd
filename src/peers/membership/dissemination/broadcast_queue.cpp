#include "peers/membership/dissemination/broadcast_queue.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::peers::membership {

std::size_t BroadcastQueue::transmit_limit(std::size_t members) {
  return static_cast<std::size_t>(limits::retransmit_multiplier *
                                  std::ceil(std::log10(static_cast<double>(members) + 1)));
}

void BroadcastQueue::add(Entry& entry) {
  if (by_transmissions_.empty())
    by_transmissions_.resize(1);
  if (entry.broadcast_id == 0) {
    if (queued_ >= limits::max_queued_facts)
      return;  // the queue is full; anti-entropy spreads the fact
    ++queued_;
  }
  entry.broadcast_id = ++last_id_;
  if (by_transmissions_[0].size() >= 2 * limits::max_queued_facts)
    std::erase_if(by_transmissions_[0], [&](auto& item) { return is_replaced(item); });
  by_transmissions_[0].push_back({&entry, last_id_});
}

void BroadcastQueue::drop(const Entry& entry) {
  for (auto& items : by_transmissions_)
    std::erase_if(items, [&](auto& item) { return item.entry == &entry; });
  if (entry.broadcast_id)
    --queued_;
}

const std::vector<Entry*>& BroadcastQueue::offer(std::size_t members) {
  offered_items_.clear();
  offered_transmissions_.clear();
  offered_entries_.clear();
  max_transmissions_ = transmit_limit(members);
  for (std::size_t transmissions = 0;
       transmissions < by_transmissions_.size() && offered_entries_.size() < limits::facts_per_offer;
       ++transmissions) {
    auto& items = by_transmissions_[transmissions];
    while (!items.empty() && offered_entries_.size() < limits::facts_per_offer) {
      const Item item = items.back();
      items.pop_back();
      if (is_replaced(item))
        continue;
      offered_items_.push_back(item);
      offered_transmissions_.push_back(transmissions);
      offered_entries_.push_back(item.entry);
    }
  }
  return offered_entries_;
}

void BroadcastQueue::mark_transmitted(std::size_t count) {
  // Goes from back to front, so that entries that did not fit keep their order.
  for (std::size_t left = offered_items_.size(); left > 0; --left) {
    const Item item = offered_items_[left - 1];
    const std::size_t transmissions = offered_transmissions_[left - 1] + (left - 1 < count ? 1 : 0);
    if (transmissions >= max_transmissions_) {
      item.entry->broadcast_id = 0;
      --queued_;
      continue;
    }
    if (by_transmissions_.size() <= transmissions)
      by_transmissions_.resize(transmissions + 1);
    by_transmissions_[transmissions].push_back(item);
  }
  offered_items_.clear();
}

}  // namespace lemonroute::peers::membership
