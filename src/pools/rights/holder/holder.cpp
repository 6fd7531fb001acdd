#include "pools/rights/holder/holder.h"

#include <algorithm>

namespace lemonroute::pools {

Holder::Holder(Terms terms, RegionId me, RegionId home, std::vector<std::string> keepers)
    : terms_(terms), me_(me), home_(home) {
  owned_.owner = home;
  for (auto& keeper : keepers)
    grants_.push_back({std::move(keeper), {}, {}, {}, false, false});
}

void Holder::answered(const std::string& keeper, Micros sent, const Keeper::Answer& answer, Micros now) {
  const auto grant =
      std::find_if(grants_.begin(), grants_.end(), [&](auto& one) { return one.keeper == keeper; });
  if (grant == grants_.end())
    return;
  // A newer ballot ends the right at once: what was promised under the last one counts no more.
  if (!owned_.learn(answer.owned))
    return;
  grant->answered = true;
  grant->heard = std::max(grant->heard, sent);
  grant->active = answer.active;
  if (answer.owned.ballot < grant->ballot)
    return;  // an old answer that was late
  if (answer.owned.ballot > grant->ballot)
    grant->until = Micros(0);
  grant->ballot = answer.owned.ballot;
  if (answer.ok)
    grant->until = std::max(grant->until, sent + terms_.held());
  // Settled once a ballot, so that the pool starts cold once, however often the right is renewed or had
  // again.
  if (right(now) && started_for_ != owned_.ballot) {
    started_for_ = owned_.ballot;
    started_ = owned_.since > Micros(0) ? owned_.since : now;
  }
}

std::optional<Holder::Right> Holder::right(Micros now) const {
  if (owned_.owner != me_ || grants_.empty())
    return std::nullopt;
  std::vector<Micros> until;
  for (const auto& grant : grants_)
    if (grant.ballot == owned_.ballot && grant.until > now)
      until.push_back(grant.until);
  if (!majority(until.size()))
    return std::nullopt;
  std::sort(until.rbegin(), until.rend());
  return Right{until[std::min(until.size() - 1, grants_.size() / 2)],
               owned_.ballot.counter > 0 ? started_ : Micros(0)};
}

bool Holder::held_by_owner(Micros now) const {
  return majority(static_cast<std::size_t>(std::count_if(grants_.begin(), grants_.end(), [&](auto& grant) {
    return grant.answered && grant.active && grant.ballot == owned_.ballot &&
           grant.heard + terms_.lease > now;
  })));
}

bool Holder::heard(Micros now) const {
  return majority(static_cast<std::size_t>(std::count_if(grants_.begin(), grants_.end(), [&](auto& grant) {
    return grant.answered && grant.heard + terms_.lease > now;
  })));
}

}  // namespace lemonroute::pools
