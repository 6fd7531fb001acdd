/// \file
/// How popular each shared prompt prefix is, estimated by one router that sees few of very many requests. It
/// has no notion of time: what fades, fades with the number of arrivals. Free of I/O. It does not lock: an
/// object is for one thread at a time.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// Counts of arrivals by shared prefix.
class PrefixPopularity {
 public:
  /// The most arrivals that are counted. Beyond it every count is halved, so that what was popular is
  /// forgotten.
  static constexpr double max_arrivals = 500;

  /// Counts a request that has arrived. Prefix key 0 stands for a request without a shared prefix.
  void record_arrival(Key prefix);

  /// Returns the share that requests with this prefix have among all arrivals, above 0 and at most 1. It is
  /// asked for a request that record_arrival() has counted already, and leaves that one out. In place of the
  /// arrivals that a good estimate lacks, some arrivals with usual_share() are assumed.
  double share(Key prefix) const;

  /// Returns the number of counted arrivals with this prefix, by the estimate of share().
  double arrivals(Key prefix) const { return share(prefix) * total_arrivals_; }

  /// Returns the chance that two requests have the same prefix, over all arrivals. This is the expected
  /// share of the prefix of a request that is drawn at random.
  double usual_share() const;

  /// Returns the number of prefixes that have a count: at most 2 * max_arrivals, because counts below one
  /// half are dropped.
  std::size_t tracked_prefixes() const { return arrivals_by_prefix_.size(); }

 private:
  std::unordered_map<Key, double> arrivals_by_prefix_;
  double total_arrivals_ = 0;          // also those without a prefix
  double pairs_with_same_prefix_ = 0;  // pairs of arrivals; each counts twice, once in either order
};

}  // namespace lemonroute::estimation
