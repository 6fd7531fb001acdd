// Rates that one router learns from what passes through it. Estimators: they decide nothing. No I/O, no
// clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

#include "estimation/learned.h"

namespace lemonroute::estimation {

// Work a microsecond, fading with the time since it came. True in the mean, however few samples there are.
class DecayingRate {
 public:
  // More work, or, if negative, work that turned out not to count.
  void add(double work, Micros now, Micros fade) {
    assume(value(now, fade) + work / to_microseconds(fade), now);
  }
  // As another router has learned it.
  void assume(double rate, Micros now) { rate_.add(std::max(0.0, rate), now, 1); }
  double value(Micros now, Micros fade) const { return rate_.value * rate_.freshness(now, fade); }
  bool known() const { return rate_.known; }

 private:
  DecayingAverage rate_;
};

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

// The usual one of the latest samples: their median, and of few the least, since a first sample may have
// waited long.
class RunningMedian {
 public:
  bool known() const { return !recent_.empty(); }
  bool has_few_samples() const { return recent_.size() < few_samples; }
  double value() const { return usual_; }
  void add(double sample) {
    recent_.push_back(sample);
    if (recent_.size() > 4 * few_samples)
      recent_.pop_front();
    auto sorted = recent_;
    const auto middle = sorted.begin() + std::max<std::ptrdiff_t>(std::ssize(sorted) - 2, 0) / 2;
    std::nth_element(sorted.begin(), middle, sorted.end());
    usual_ = *middle;
  }
  // As another router has learned it; own samples replace it by and by.
  void assume(double rate) {
    recent_.insert(recent_.begin(), 2 * few_samples, rate);
    usual_ = rate;
  }

 private:
  static constexpr std::size_t few_samples = 4;
  std::deque<double> recent_;
  double usual_ = 0;
};

// Requests a second that may pass, with a burst; full of credit only after a pause.
class TokenBucket {
 public:
  // Whether one more may pass now. `per_second`: the rate; `most`: the largest burst.
  bool take(double per_second, double most, Micros now) {
    level_ = std::min(most, level_ + per_second * to_microseconds(now - at_) / 1e6);
    at_ = now;
    if (level_ < 1)
      return false;
    level_ -= 1;
    return true;
  }

 private:
  double level_ = 0;
  Micros at_{};
};

}  // namespace lemonroute::estimation
