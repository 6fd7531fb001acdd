/// \file
/// The median of the latest samples. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>

namespace lemonroute::estimation {

/// The approximate median of the latest 16 samples, robust against a few extreme samples. For an even number
/// of samples it is the lower median, and for an odd number the value just below the median. For up to three
/// samples it is the minimum, because the first samples may include time in a queue and be too high.
class RunningMedian {
 public:
  /// Returns whether there is any sample, from add() or assume().
  bool known() const { return !latest_.empty(); }

  /// Returns whether there are fewer than four samples, which is too few for a reliable median.
  bool has_few_samples() const { return latest_.size() < few_samples; }

  /// Returns the median in the unit of the samples, or 0 before the first sample.
  double value() const { return median_; }

  /// Adds a sample, and drops the oldest if there are more than 16.
  void add(double sample) {
    latest_.push_back(sample);
    if (latest_.size() > max_kept_samples)
      latest_.pop_front();
    auto samples = latest_;
    const std::ptrdiff_t middle = std::max<std::ptrdiff_t>(std::ssize(samples) - 2, 0) / 2;
    const auto median = samples.begin() + middle;
    std::nth_element(samples.begin(), median, samples.end());
    median_ = *median;
  }

  /// Adopts a value that another router measured, as if it were eight old samples; later samples replace them
  /// one by one. Must only be called while has_few_samples(): add() drops one sample at a time, so otherwise
  /// more than 16 samples would be kept from then on.
  void assume(double value) {
    latest_.insert(latest_.begin(), assumed_samples, value);
    median_ = value;
  }

 private:
  static constexpr std::size_t few_samples = 4;
  static constexpr std::size_t assumed_samples = 2 * few_samples;
  static constexpr std::size_t max_kept_samples = 4 * few_samples;

  std::deque<double> latest_;  // oldest first
  double median_ = 0;
};

}  // namespace lemonroute::estimation
