#include "guide/router_count_estimator.h"

#include <algorithm>

namespace lemonroute::guide {

std::uint32_t RouterCountEstimator::update(Micros now, const peers::View& view) {
  const std::uint32_t present = std::max<std::uint32_t>(1, view.live_count());
  if (peaks_.empty())
    peaks_.push_back({now, limits_.configured});
  // The previous count held until now, so that a late call doesn't count as periods with fewer routers.
  if (previous_count_ > 0)
    for (auto& peak : peaks_)
      if (peak.count <= previous_count_)
        peak.last_seen_at = now;
  previous_count_ = present;
  while (!peaks_.empty() && peaks_.back().count <= present)
    peaks_.pop_back();
  peaks_.push_back({now, present});

  const auto expected = std::max(view.known_count, limits_.configured);
  const bool sees_majority = !view.minority_since && std::uint64_t{2} * present > expected;
  const Micros hold_time = view.period * static_cast<Micros::rep>(limits_.periods);
  if (sees_majority) {
    while (peaks_.size() > 1 && now - peaks_.front().last_seen_at >= hold_time)
      peaks_.pop_front();
  } else {
    // In a minority the peaks don't age: they hold until `hold_time` after the other routers are back.
    for (auto& peak : peaks_)
      peak.last_seen_at = now;
  }
  return std::clamp(peaks_.front().count, limits_.min, limits_.max);
}

}  // namespace lemonroute::guide
