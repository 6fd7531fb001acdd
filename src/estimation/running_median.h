// The median of the latest samples. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>

namespace lemonroute::estimation {

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

}  // namespace lemonroute::estimation
