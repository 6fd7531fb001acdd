#include "peers/membership/dissemination/news.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::peers::membership {

std::size_t News::times(std::size_t members) {
  return static_cast<std::size_t>(limits::retransmit *
                                  std::ceil(std::log10(static_cast<double>(members) + 1)));
}

void News::add(Entry& entry) {
  if (by_times_.empty())
    by_times_.resize(1);
  if (entry.news == 0) {
    if (waiting_ >= limits::queued)
      return;  // anti-entropy tells it
    ++waiting_;
  }
  entry.news = ++numbers_;
  if (by_times_[0].size() >= 2 * limits::queued)
    std::erase_if(by_times_[0], [&](auto& item) { return stale(item); });
  by_times_[0].push_back({&entry, numbers_});
}

void News::drop(const Entry& entry) {
  for (auto& items : by_times_)
    std::erase_if(items, [&](auto& item) { return item.entry == &entry; });
  if (entry.news)
    --waiting_;
}

const std::vector<Entry*>& News::next(std::size_t members) {
  offered_.clear();
  offered_times_.clear();
  offer_.clear();
  most_times_ = times(members);
  for (std::size_t so_often = 0; so_often < by_times_.size() && offer_.size() < limits::offered; ++so_often) {
    auto& items = by_times_[so_often];
    while (!items.empty() && offer_.size() < limits::offered) {
      const Item item = items.back();
      items.pop_back();
      if (stale(item))
        continue;
      offered_.push_back(item);
      offered_times_.push_back(so_often);
      offer_.push_back(item.entry);
    }
  }
  return offer_;
}

void News::told(std::size_t count) {
  // From the back, so that what found no room is in the order in which it was.
  for (std::size_t left = offered_.size(); left > 0; --left) {
    const Item item = offered_[left - 1];
    const std::size_t so_often = offered_times_[left - 1] + (left - 1 < count ? 1 : 0);
    if (so_often >= most_times_) {
      item.entry->news = 0;
      --waiting_;
      continue;
    }
    if (by_times_.size() <= so_often)
      by_times_.resize(so_often + 1);
    by_times_[so_often].push_back(item);
  }
  offered_.clear();
}

}  // namespace lemonroute::peers::membership
