/// \file
/// The median of the latest samples. Free of I/O and of time. It does not lock: an object is for one thread
/// at a time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>

namespace lemonroute::estimation {

/// The usual value among the latest 16 samples, which a few extreme samples do not move. It is the lower
/// median of an even number of samples and the value just below the median of an odd number. Of up to three
/// samples it is the least, because the first samples may be too high: they may have waited in a queue.
class RunningMedian {
 public:
  /// Returns whether there is a sample, added or assumed.
  bool known() const { return !latest_.empty(); }

  /// Returns whether there are fewer than four samples, which is too few to rely on.
  bool has_few_samples() const { return latest_.size() < few_samples; }

  /// Returns the median in the unit of the samples, or 0 before the first sample.
  double value() const { return median_; }

  /// Adds a sample; the oldest beyond 16 goes.
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

  /// Takes over a value that another router measured, as if it were eight old samples; later samples replace
  /// them one by one. Only to be called while has_few_samples(): add() drops one sample at a time, so that
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
