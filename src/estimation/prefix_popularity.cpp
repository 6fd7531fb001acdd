#include "estimation/prefix_popularity.h"

#include <algorithm>

namespace lemonroute::estimation {
namespace {

// How many arrivals with the usual share are assumed beside those that were counted.
constexpr double assumed_arrivals = 10;

// The pairs of arrivals that are assumed beside those that were counted, and those of them that have the same
// prefix: one in twenty. They matter for the first few requests only.
constexpr double assumed_pairs = 20;
constexpr double assumed_pairs_with_same_prefix = 1;

// Prefixes with a lower count are forgotten when counts are halved.
constexpr double min_count = 0.5;

// Pairs among so many arrivals, each counted twice. Halved counts may be below 1 and have no pair.
double pairs_among(double arrivals) {
  return arrivals * std::max(0.0, arrivals - 1);
}

}  // namespace

void PrefixPopularity::record_arrival(Key prefix) {
  total_arrivals_ += 1;
  if (total_arrivals_ > max_arrivals) {
    total_arrivals_ /= 2;
    for (auto& [key, count] : arrivals_by_prefix_)
      count /= 2;
    std::erase_if(arrivals_by_prefix_, [](const auto& entry) { return entry.second < min_count; });
    pairs_with_same_prefix_ = 0;
    for (const auto& [key, count] : arrivals_by_prefix_)
      pairs_with_same_prefix_ += pairs_among(count);
  }
  if (prefix == 0)
    return;
  double& count = arrivals_by_prefix_[prefix];
  pairs_with_same_prefix_ += pairs_among(count + 1) - pairs_among(count);
  count += 1;
}

double PrefixPopularity::usual_share() const {
  const double pairs_with_same_prefix = pairs_with_same_prefix_ + assumed_pairs_with_same_prefix;
  const double pairs = pairs_among(total_arrivals_) + assumed_pairs;
  return pairs_with_same_prefix / pairs;
}

double PrefixPopularity::share(Key prefix) const {
  const auto found = arrivals_by_prefix_.find(prefix);
  // Without the request that this is asked for.
  const double others = found == arrivals_by_prefix_.end() ? 0 : std::max(0.0, found->second - 1);
  const double assumed = assumed_arrivals * usual_share();
  return std::min(1.0, (others + assumed) / (total_arrivals_ + assumed_arrivals));
}

}  // namespace lemonroute::estimation
