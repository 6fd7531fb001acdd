#include "tiers/store/heavy_hitters.h"

#include <algorithm>

namespace lemonroute::tiers {

std::optional<KeyId> HeavyHitters::add(KeyId key, double amount) {
  std::optional<KeyId> displaced;
  if (const auto found = counts_.find(key); found != counts_.end()) {
    order_.erase({found->second, key});
    found->second += amount;
    order_.insert({found->second, key});
    return displaced;
  }
  double inherited = 0;
  if (counts_.size() >= capacity_) {
    inherited = order_.begin()->first;
    displaced = order_.begin()->second;
    order_.erase(order_.begin());
    counts_.erase(*displaced);
    error_ = std::max(error_, inherited);
  }
  counts_[key] = inherited + amount;
  order_.insert({inherited + amount, key});
  return displaced;
}

void HeavyHitters::erase(KeyId key) {
  const auto found = counts_.find(key);
  if (found == counts_.end())
    return;
  order_.erase({found->second, key});
  counts_.erase(found);
}

void HeavyHitters::halve() {
  error_ /= 2;
  order_.clear();
  for (auto& [key, count] : counts_)
    order_.insert({count /= 2, key});
}

double HeavyHitters::count(KeyId key) const {
  const auto found = counts_.find(key);
  return found == counts_.end() ? 0 : found->second;
}

}  // namespace lemonroute::tiers
