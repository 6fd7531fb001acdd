/// \file
/// Estimates the popularity of shared prompt prefixes from the few requests that one router receives. Counts
/// decay with the number of arrivals, not with time. Not thread-safe.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Counts of arrivals by shared prefix.
class PrefixPopularity {
 public:
  /// Maximum number of counted arrivals. Beyond it all counts are halved, so that old arrivals count less and
  /// less.
  static constexpr double max_arrivals = 500;

  /// Counts the arrival of a request. Prefix key 0 stands for a request without a shared prefix.
  void record_arrival(Key prefix);

  /// Returns the estimated share of this prefix among all arrivals, above 0 and at most 1. The request that
  /// it is called for must have been counted by record_arrival() and is left out. To compensate for few
  /// arrivals, some arrivals with usual_share() are assumed.
  double share(Key prefix) const;

  /// Returns the number of counted arrivals with this prefix, estimated with share().
  double arrivals(Key prefix) const { return share(prefix) * total_arrivals_; }

  /// Returns the probability that two arrivals have the same prefix. It equals the expected share of the
  /// prefix of a random request.
  double usual_share() const;

  /// Returns the number of prefixes with a count: at most 2 * max_arrivals, because counts below one half are
  /// dropped.
  std::size_t tracked_prefixes() const { return arrivals_by_prefix_.size(); }

 private:
  std::unordered_map<Key, double> arrivals_by_prefix_;
  double total_arrivals_ = 0;          // including those without a prefix
  double pairs_with_same_prefix_ = 0;  // ordered pairs of arrivals
};

}  // namespace lemonroute::estimation
