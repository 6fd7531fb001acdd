// Work sent within a sliding window of time. No I/O, no clock.
#pragma once

#include <deque>
#include <utility>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

// Work sent within a sliding window of time.
class SlidingWindowSum {
 public:
  void add(double work, Micros now) { sent_.emplace_back(now, work); }
  // Work of the last `window` before `now`; what is older is forgotten.
  double sum(Micros now, Micros window) {
    while (!sent_.empty() && now - sent_.front().first > window)
      sent_.pop_front();
    double sum = 0;
    for (const auto& [at, work] : sent_)
      sum += work;
    return sum;
  }
  bool empty() const { return sent_.empty(); }

 private:
  std::deque<std::pair<Micros, double>> sent_;
};

}  // namespace lemonroute::estimation
