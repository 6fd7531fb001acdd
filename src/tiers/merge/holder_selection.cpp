#include "tiers/merge/holder_selection.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lemonroute::tiers {

double decayed_confidence(std::uint8_t confidence, Micros seen_at, Micros now, Micros half_life) {
  const double half_lives =
      std::max(0.0, std::chrono::duration<double>(now - seen_at) / std::chrono::duration<double>(half_life));
  return confidence / 255.0 * std::exp2(-half_lives);
}

std::vector<AdvertisedHolder> select_holders(const VoteSet& vote_set,
                                             const std::vector<AdvertisedHolder>& previous,
                                             const SelectionContext& context) {
  using Claim = std::pair<std::uint32_t, NameId>;  // tokens and contributor
  struct Candidate {
    double support = 0;
    AdvertisedHolder advertised;
    std::vector<Claim> claims;
  };
  std::map<NameId, Candidate> candidates;
  for (const auto& entry : vote_set.entries()) {
    const double trust = context.trust(entry.contributor);
    if (trust <= 0)
      continue;
    for (const auto& holder : entry.vote.holders) {
      if (!context.is_current(holder.device, holder.epoch))
        continue;
      auto& candidate = candidates[holder.device];
      candidate.support +=
          trust * decayed_confidence(holder.confidence, holder.seen_at, context.now, context.half_life);
      candidate.claims.push_back({holder.tokens, entry.contributor});
      auto& advertised = candidate.advertised;
      if (candidate.claims.size() == 1)
        advertised = {holder.device, holder.epoch, 0, holder.confidence, holder.seen_at, 0, 0};
      else if (holder.seen_at > advertised.seen_at)
        advertised.seen_at = holder.seen_at, advertised.confidence = holder.confidence;
    }
  }
  std::vector<std::pair<double, AdvertisedHolder>> scored;
  for (auto& [device, candidate] : candidates) {
    std::sort(candidate.claims.begin(), candidate.claims.end(), std::greater<>());
    const auto& claim = candidate.claims[candidate.claims.size() > 1 ? 1 : 0];
    candidate.advertised.tokens = claim.first;
    candidate.advertised.contributor = claim.second;
    candidate.advertised.vote_count = static_cast<std::uint8_t>(candidate.claims.size());
    const bool was_advertised =
        std::any_of(previous.begin(), previous.end(),
                    [&, device = device](const auto& one) { return one.device == device; });
    scored.emplace_back(candidate.support * (was_advertised ? 1.5 : 1) * std::sqrt(1.0 + claim.first),
                        candidate.advertised);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second.device < b.second.device;
  });
  if (scored.size() > max_holders)
    scored.resize(max_holders);
  std::vector<AdvertisedHolder> selected;
  selected.reserve(scored.size());
  for (auto& [score, advertised] : scored)
    selected.push_back(advertised);
  return selected;
}

bool significantly_differ(const std::vector<AdvertisedHolder>& a, const std::vector<AdvertisedHolder>& b) {
  if (a.size() != b.size())
    return true;
  for (const auto& x : a) {
    const auto y = std::find_if(b.begin(), b.end(), [&](const auto& one) { return one.device == x.device; });
    if (y == b.end() || !(y->epoch == x.epoch))
      return true;
    if (std::abs(double(x.tokens) - y->tokens) > 0.25 * std::max(x.tokens, y->tokens))
      return true;
  }
  return false;
}

}  // namespace lemonroute::tiers
