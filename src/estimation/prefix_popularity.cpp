#include "estimation/prefix_popularity.h"

#include <algorithm>

namespace lemonroute::estimation {
namespace {

// Number of arrivals with the usual share that are assumed in addition to the counted ones.
constexpr double assumed_arrivals = 10;

// Pairs of arrivals that are assumed in addition to the counted ones, and how many of them have the same
// prefix. They affect only the first few requests.
constexpr double assumed_pairs = 20;
constexpr double assumed_pairs_with_same_prefix = 1;

// Prefixes with a lower count are dropped when the counts are halved.
constexpr double min_count = 0.5;

// Returns the number of ordered pairs among arrivals. A halved count below 1 has no pairs.
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
  // The request that share() is called for is not counted.
  const double others = found == arrivals_by_prefix_.end() ? 0 : std::max(0.0, found->second - 1);
  const double assumed = assumed_arrivals * usual_share();
  return std::min(1.0, (others + assumed) / (total_arrivals_ + assumed_arrivals));
}

}  // namespace lemonroute::estimation
