/// \file
/// A sum over a sliding time window. It reads no clock: the caller passes the time, which must not decrease.
/// Not thread-safe.
#pragma once

#include <deque>
#include <utility>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// The sum of the work that was added within a time window that ends now. The caller chooses the unit of
/// work.
class SlidingWindowSum {
 public:
  /// Adds work. Only sum() drops old entries: without calls of it, memory grows with every addition.
  void add(double work, Micros now) { entries_.emplace_back(now, work); }

  /// Returns the sum of the work within `window` before `now`, 0 if there is none. Drops older work
  /// permanently, so a longer window in a later call does not include it. The running time grows with the
  /// number of entries in the window.
  double sum(Micros now, Micros window) {
    while (!entries_.empty() && now - entries_.front().first > window)
      entries_.pop_front();
    double total = 0;
    for (const auto& [added_at, work] : entries_)
      total += work;
    return total;
  }

  /// Returns whether no entry is left after the latest call of sum().
  bool empty() const { return entries_.empty(); }

 private:
  std::deque<std::pair<Micros, double>> entries_;  // time and amount of each addition, oldest first
};

}  // namespace lemonroute::estimation
