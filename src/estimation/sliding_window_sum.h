/// \file
/// A sum over the last moments. It reads no clock: the caller passes the time, which must not go back. Free
/// of I/O. It does not lock: an object is for one thread at a time.
#pragma once

#include <deque>
#include <utility>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

/// The sum of the work that was added within a window of time that ends now. The unit of work is the
/// caller's.
class SlidingWindowSum {
 public:
  /// Adds work. Nothing is dropped here: without calls of sum() the memory grows with every call.
  void add(double work, Micros now) { entries_.emplace_back(now, work); }

  /// Returns the sum of the work of the last `window` before `now`, 0 if there is none. Drops older work for
  /// good, so that a longer window in a later call does not see it. The time taken grows with the number of
  /// additions in the window.
  double sum(Micros now, Micros window) {
    while (!entries_.empty() && now - entries_.front().first > window)
      entries_.pop_front();
    double total = 0;
    for (const auto& [added_at, work] : entries_)
      total += work;
    return total;
  }

  /// Returns whether no work is left, as of the latest call of sum().
  bool empty() const { return entries_.empty(); }

 private:
  std::deque<std::pair<Micros, double>> entries_;  // when it was added and how much, oldest first
};

}  // namespace lemonroute::estimation
