#include "peers/membership/suspicion/suspicion.h"

#include <algorithm>
#include <cmath>

#include "peers/membership/hash.h"

namespace lemonroute::peers::membership {
namespace {

Micros scaled(Micros time, double factor) {
  return Micros(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace

Micros min_suspicion_timeout(std::size_t members, Micros period) {
  return scaled(period,
                limits::suspicion_multiplier * std::max(1.0, std::log10(static_cast<double>(members))));
}

Suspicion::Suspicion(Micros now, std::size_t members, Micros period, std::string_view by)
    : started_(now),
      min_timeout_(min_suspicion_timeout(members, period)),
      max_timeout_(min_timeout_ * limits::max_suspicion_factor) {
  reporters_[0] = hash_of(by);
  // Neither the first reporter nor the suspected member can confirm: one of three members can, none of two.
  confirmations_needed_ = std::min(limits::max_confirmations, members > 2 ? members - 2 : 0);
}

Suspicion Suspicion::from_gone_claims(Micros now, std::size_t members, Micros period, std::string_view by) {
  Suspicion suspicion(now, members, period, by);
  suspicion.min_timeout_ = suspicion.max_timeout_ = suspicion.min_timeout_ * 2;
  return suspicion;
}

bool Suspicion::confirm(std::string_view by) {
  const auto hash = hash_of(by);
  if (reporter_count_ > confirmations_needed_ ||
      std::find(reporters_.begin(), reporters_.begin() + reporter_count_, hash) !=
          reporters_.begin() + reporter_count_)
    return false;
  reporters_[reporter_count_++] = hash;
  return true;
}

void Suspicion::postpone(Micros delay) {
  started_ += delay;
}

Micros Suspicion::deadline() const {
  if (confirmations_needed_ == 0)
    return started_ + min_timeout_;
  const double progress = std::log(static_cast<double>(reporter_count_)) /
                          std::log(static_cast<double>(confirmations_needed_) + 1.0);
  return started_ + std::max(min_timeout_, max_timeout_ - scaled(max_timeout_ - min_timeout_, progress));
}

}  // namespace lemonroute::peers::membership
