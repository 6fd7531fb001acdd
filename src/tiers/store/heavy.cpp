#include "tiers/store/heavy.h"

#include <algorithm>

namespace lemonroute::tiers {

std::optional<KeyId> Heavy::add(KeyId key, double worth) {
  std::optional<KeyId> gone;
  if (const auto found = counts_.find(key); found != counts_.end()) {
    order_.erase({found->second, key});
    found->second += worth;
    order_.insert({found->second, key});
    return gone;
  }
  double inherited = 0;
  if (counts_.size() >= most_) {
    inherited = order_.begin()->first;
    gone = order_.begin()->second;
    order_.erase(order_.begin());
    counts_.erase(*gone);
    error_ = std::max(error_, inherited);
  }
  counts_[key] = inherited + worth;
  order_.insert({inherited + worth, key});
  return gone;
}

void Heavy::erase(KeyId key) {
  const auto found = counts_.find(key);
  if (found == counts_.end())
    return;
  order_.erase({found->second, key});
  counts_.erase(found);
}

void Heavy::halve() {
  error_ /= 2;
  order_.clear();
  for (auto& [key, count] : counts_)
    order_.insert({count /= 2, key});
}

double Heavy::count(KeyId key) const {
  const auto found = counts_.find(key);
  return found == counts_.end() ? 0 : found->second;
}

}  // namespace lemonroute::tiers
