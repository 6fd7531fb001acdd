#include "tiers/trust/trust.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::tiers {

namespace {
constexpr std::size_t most_judged = 4096, most_denied = 1024;
constexpr Micros half_life = std::chrono::minutes(10);
}  // namespace

double Trust::drifted(const One& one, Micros now) {
  const double lives = std::chrono::duration<double>(now - one.at) / std::chrono::duration<double>(half_life);
  return unknown + (one.trust - unknown) * std::exp2(-std::max(0.0, lives));
}

double Trust::of(NameId name, Micros now) const {
  const auto at = all_.find(name);
  if (at == all_.end())
    return unknown;
  const double trust = drifted(at->second, now);
  return trust < least ? 0 : trust;
}

Trust::One& Trust::place(NameId name) {
  const auto found = all_.find(name);
  if (found != all_.end())
    return found->second;
  // Who is nearest to the unknown loses least by being forgotten.
  if (all_.size() >= most_judged)
    all_.erase(std::min_element(all_.begin(), all_.end(), [](const auto& a, const auto& b) {
      return std::abs(a.second.trust - unknown) < std::abs(b.second.trust - unknown);
    }));
  return all_[name];
}

void Trust::confirmed(NameId name, Micros now) {
  auto& one = place(name);
  const double trust = drifted(one, now);
  one = {trust + 0.1 * (1 - trust), now};
}
void Trust::contradicted(NameId name, Micros now, double factor) {
  auto& one = place(name);
  one = {drifted(one, now) * factor, now};
}
std::size_t Trust::distrusted(Micros now) const {
  return static_cast<std::size_t>(std::count_if(
      all_.begin(), all_.end(), [&](const auto& one) { return drifted(one.second, now) < least; }));
}

void Denied::add(KeyId key, NameId device, Micros until) {
  if (all_.size() >= most_denied && !all_.count({key, device})) {
    const auto first =
        std::min_element(all_.begin(), all_.end(), [](auto& a, auto& b) { return a.second < b.second; });
    all_.erase(first);
  }
  all_[{key, device}] = until;
}
bool Denied::has(KeyId key, NameId device, Micros now) const {
  const auto at = all_.find({key, device});
  return at != all_.end() && now < at->second;
}
void Denied::expire(Micros now) {
  std::erase_if(all_, [&](const auto& one) { return one.second <= now; });
}

}  // namespace lemonroute::tiers
