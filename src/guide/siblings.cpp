#include "guide/siblings.h"

#include <algorithm>

namespace lemonroute::guide {

std::uint32_t Siblings::see(Micros now, const peers::View& view) {
  const std::uint32_t there = std::max<std::uint32_t>(1, view.there());
  if (falling_.empty())
    falling_.push_back({now, limits_.stated});
  // The number seen until now was seen up to now: a period that passes unheard is not a period of fewer.
  if (last_ > 0)
    for (auto& seen : falling_)
      if (seen.count <= last_)
        seen.at = now;
  last_ = there;
  while (!falling_.empty() && falling_.back().count <= there)
    falling_.pop_back();
  falling_.push_back({now, there});

  const auto expected = std::max(view.known, limits_.stated);
  const bool most_of_them = !view.minority_since && std::uint64_t{2} * there > expected;
  const Micros kept = view.period * static_cast<Micros::rep>(limits_.periods);
  if (most_of_them) {
    while (falling_.size() > 1 && now - falling_.front().at >= kept)
      falling_.pop_front();
  } else {
    // What a minority has seen does not age: it holds until so many periods after the others are back.
    for (auto& seen : falling_)
      seen.at = now;
  }
  return std::clamp(falling_.front().count, limits_.least, limits_.most);
}

}  // namespace lemonroute::guide
