#include "tiers/trust/trust.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::tiers {

namespace {
constexpr std::size_t max_scores = 4096, max_false_hints = 1024;
constexpr Micros half_life = std::chrono::minutes(10);
}  // namespace

double Trust::decayed(const Score& score, Micros now) {
  const double half_lives =
      std::chrono::duration<double>(now - score.updated_at) / std::chrono::duration<double>(half_life);
  return initial + (score.trust - initial) * std::exp2(-std::max(0.0, half_lives));
}

double Trust::trust_in(NameId peer, Micros now) const {
  const auto at = scores_.find(peer);
  if (at == scores_.end())
    return initial;
  const double trust = decayed(at->second, now);
  return trust < min_trust ? 0 : trust;
}

Trust::Score& Trust::find_or_add(NameId peer) {
  const auto found = scores_.find(peer);
  if (found != scores_.end())
    return found->second;
  // Forgetting the score closest to the initial trust loses the least information.
  if (scores_.size() >= max_scores)
    scores_.erase(std::min_element(scores_.begin(), scores_.end(), [](const auto& a, const auto& b) {
      return std::abs(a.second.trust - initial) < std::abs(b.second.trust - initial);
    }));
  return scores_[peer];
}

void Trust::record_confirmed(NameId peer, Micros now) {
  auto& score = find_or_add(peer);
  const double trust = decayed(score, now);
  score = {trust + 0.1 * (1 - trust), now};
}
void Trust::record_contradicted(NameId peer, Micros now, double factor) {
  auto& score = find_or_add(peer);
  score = {decayed(score, now) * factor, now};
}
std::size_t Trust::distrusted_count(Micros now) const {
  return static_cast<std::size_t>(std::count_if(scores_.begin(), scores_.end(), [&](const auto& score) {
    return decayed(score.second, now) < min_trust;
  }));
}

void FalseHints::add(KeyId key, NameId device, Micros until) {
  if (expiries_.size() >= max_false_hints && !expiries_.count({key, device})) {
    const auto earliest = std::min_element(expiries_.begin(), expiries_.end(),
                                           [](auto& a, auto& b) { return a.second < b.second; });
    expiries_.erase(earliest);
  }
  expiries_[{key, device}] = until;
}
bool FalseHints::contains(KeyId key, NameId device, Micros now) const {
  const auto at = expiries_.find({key, device});
  return at != expiries_.end() && now < at->second;
}
void FalseHints::expire(Micros now) {
  std::erase_if(expiries_, [&](const auto& hint) { return hint.second <= now; });
}

}  // namespace lemonroute::tiers
