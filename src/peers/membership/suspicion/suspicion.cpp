#include "peers/membership/suspicion/suspicion.h"

#include <algorithm>
#include <cmath>

#include "peers/membership/hash.h"

namespace lemonroute::peers::membership {
namespace {

Micros times(Micros time, double factor) {
  return Micros(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace

Micros least_suspicion(std::size_t members, Micros period) {
  return times(period, limits::suspicion * std::max(1.0, std::log10(static_cast<double>(members))));
}

Suspicion::Suspicion(Micros now, std::size_t members, Micros period, std::string_view by)
    : started_(now), least_(least_suspicion(members, period)), most_(least_ * limits::suspicion_most) {
  by_[0] = hash_of(by);
  // Of three members one can confirm, of two none.
  wanted_ = std::min(limits::confirmations, members > 2 ? members - 2 : 0);
}

Suspicion Suspicion::by_hearsay(Micros now, std::size_t members, Micros period, std::string_view by) {
  Suspicion made(now, members, period, by);
  made.least_ = made.most_ = made.least_ * 2;
  return made;
}

bool Suspicion::confirm(std::string_view by) {
  const auto hash = hash_of(by);
  if (count_ > wanted_ || std::find(by_.begin(), by_.begin() + count_, hash) != by_.begin() + count_)
    return false;
  by_[count_++] = hash;
  return true;
}

void Suspicion::shift(Micros late) {
  started_ += late;
}

Micros Suspicion::deadline() const {
  if (wanted_ == 0)
    return started_ + least_;
  const double part = std::log(static_cast<double>(count_)) / std::log(static_cast<double>(wanted_) + 1.0);
  return started_ + std::max(least_, most_ - times(most_ - least_, part));
}

}  // namespace lemonroute::peers::membership
