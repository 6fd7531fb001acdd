#include "estimation/prefix_popularity.h"

#include <algorithm>

namespace lemonroute::estimation {
namespace {

constexpr double in_place = 10;  // arrivals that the usual part stands for
// Before pairs were seen: one of twenty begins alike. The figure matters for the first few requests only.
constexpr double pairs_before = 20, alike_before = 1;

double pairs(double count) {
  return count * std::max(0.0, count - 1);
}

}  // namespace

void PrefixPopularity::record_arrival(Key opening) {
  if (++all_ > max_arrivals) {
    all_ /= 2;
    pairs_ = 0;
    for (auto& [key, count] : counts_)
      count /= 2;
    std::erase_if(counts_, [](const auto& one) { return one.second < 0.5; });
    for (const auto& [key, count] : counts_)
      pairs_ += pairs(count);
  }
  if (!opening)
    return;
  double& count = counts_[opening];
  pairs_ += pairs(count + 1) - pairs(count);
  count += 1;
}

double PrefixPopularity::usual_share() const {
  return (pairs_ + alike_before) / (pairs(all_) + pairs_before);
}

double PrefixPopularity::share(Key opening) const {
  const auto found = counts_.find(opening);
  const double others = found == counts_.end() ? 0 : std::max(0.0, found->second - 1);
  return std::min(1.0, (others + in_place * usual_share()) / (all_ + in_place));
}

}  // namespace lemonroute::estimation
