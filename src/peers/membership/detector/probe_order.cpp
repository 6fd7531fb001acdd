#include "peers/membership/detector/probe_order.h"

#include <algorithm>

namespace lemonroute::peers::membership {

void ProbeOrder::add(Entry& entry, Random& random) {
  const auto position = random.below(order_.size() + 1);
  order_.push_back(&entry);
  std::swap(order_[position], order_.back());
}

void ProbeOrder::remove(const Entry& entry) {
  std::erase(order_, &entry);
  position_ = std::min(position_, order_.size());
}

Entry* ProbeOrder::next(Random& random) {
  for (std::size_t tried = 0; tried <= order_.size(); ++tried) {
    if (position_ >= order_.size()) {
      random.shuffle(order_);
      position_ = 0;
      if (order_.empty())
        return nullptr;
    }
    Entry* entry = order_[position_++];
    if (entry->fact.is_live())
      return entry;
  }
  return nullptr;
}

Entry* ProbeOrder::random_member(Random& random, Standing standing) const {
  if (order_.empty())
    return nullptr;
  const std::size_t from = random.below(order_.size());
  for (std::size_t step = 0; step < order_.size(); ++step) {
    Entry* entry = order_[(from + step) % order_.size()];
    if (standing == Standing::gone ? entry->fact.standing == Standing::gone : entry->fact.is_live())
      return entry;
  }
  return nullptr;
}

std::vector<Entry*> ProbeOrder::random_across_sites(Random& random, const Entry* excluded,
                                                    std::size_t most) const {
  std::vector<Entry*> candidates, chosen;
  for (std::size_t tries = 0; tries < most * 6 && candidates.size() < most * 3; ++tries) {
    Entry* entry = random_member(random, Standing::alive);
    if (!entry)
      return {};
    if (entry != excluded && std::find(candidates.begin(), candidates.end(), entry) == candidates.end())
      candidates.push_back(entry);
  }
  const auto fill = [&](bool new_sites_only) {
    for (Entry* entry : candidates) {
      if (chosen.size() == most)
        return;
      const bool covered = std::any_of(chosen.begin(), chosen.end(), [&](Entry* one) {
        return one == entry || (new_sites_only && one->fact.site == entry->fact.site);
      });
      if (!covered)
        chosen.push_back(entry);
    }
  };
  fill(true);
  fill(false);
  return chosen;
}

}  // namespace lemonroute::peers::membership
