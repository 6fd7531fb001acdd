#include "peers/membership/detector/probe_order.h"

#include <algorithm>

namespace lemonroute::peers::membership {

void ProbeOrder::add(Entry& entry, Random& random) {
  const auto place = random.below(order_.size() + 1);
  order_.push_back(&entry);
  std::swap(order_[place], order_.back());
}

void ProbeOrder::remove(const Entry& entry) {
  std::erase(order_, &entry);
  at_ = std::min(at_, order_.size());
}

Entry* ProbeOrder::next(Random& random) {
  for (std::size_t tried = 0; tried <= order_.size(); ++tried) {
    if (at_ >= order_.size()) {
      random.shuffle(order_);
      at_ = 0;
      if (order_.empty())
        return nullptr;
    }
    Entry* entry = order_[at_++];
    if (entry->fact.there())
      return entry;
  }
  return nullptr;
}

Entry* ProbeOrder::draw(Random& random, Standing wanted) const {
  if (order_.empty())
    return nullptr;
  const std::size_t from = random.below(order_.size());
  for (std::size_t step = 0; step < order_.size(); ++step) {
    Entry* entry = order_[(from + step) % order_.size()];
    if (wanted == Standing::gone ? entry->fact.standing == Standing::gone : entry->fact.there())
      return entry;
  }
  return nullptr;
}

std::vector<Entry*> ProbeOrder::helpers(Random& random, const Entry* but, std::size_t most) const {
  std::vector<Entry*> drawn, taken;
  for (std::size_t tries = 0; tries < most * 6 && drawn.size() < most * 3; ++tries) {
    Entry* entry = draw(random, Standing::alive);
    if (!entry)
      return {};
    if (entry != but && std::find(drawn.begin(), drawn.end(), entry) == drawn.end())
      drawn.push_back(entry);
  }
  const auto fill = [&](bool other_sites) {
    for (Entry* entry : drawn) {
      if (taken.size() == most)
        return;
      const bool known = std::any_of(taken.begin(), taken.end(), [&](Entry* one) {
        return one == entry || (other_sites && one->fact.site == entry->fact.site);
      });
      if (!known)
        taken.push_back(entry);
    }
  };
  fill(true);
  fill(false);
  return taken;
}

}  // namespace lemonroute::peers::membership
