#include "pools/leases/holder/lease_holder.h"

#include <algorithm>

namespace lemonroute::pools {

LeaseHolder::LeaseHolder(LeaseTerms terms, RegionId own_region, RegionId home,
                         std::vector<std::string> grantors)
    : terms_(terms), own_region_(own_region), home_(home) {
  ownership_.owner = home;
  for (auto& grantor : grantors)
    grantors_.push_back({std::move(grantor), {}, {}, {}, false, false});
}

void LeaseHolder::on_answer(const std::string& grantor, Micros sent_at, const Grantor::Answer& answer,
                            Micros now) {
  const auto state =
      std::find_if(grantors_.begin(), grantors_.end(), [&](auto& one) { return one.grantor == grantor; });
  if (state == grantors_.end())
    return;
  // A newer ballot ends the lease at once: grants under the previous ballot no longer count.
  if (!ownership_.learn(answer.ownership))
    return;
  state->answered = true;
  state->answered_request_at = std::max(state->answered_request_at, sent_at);
  state->granted_to_owner = answer.granted_to_owner;
  if (answer.ownership.ballot < state->ballot)
    return;  // a late answer under an older ballot
  if (answer.ownership.ballot > state->ballot)
    state->expires_at = Micros(0);
  state->ballot = answer.ownership.ballot;
  if (answer.granted)
    state->expires_at = std::max(state->expires_at, sent_at + terms_.lease_duration());
  // The start is set once per ballot, so that the pool warms up once, however often the lease is renewed or
  // lost and held again.
  if (lease(now) && started_ballot_ != ownership_.ballot) {
    started_ballot_ = ownership_.ballot;
    started_at_ = ownership_.granted_at > Micros(0) ? ownership_.granted_at : now;
  }
}

std::optional<LeaseHolder::Lease> LeaseHolder::lease(Micros now) const {
  if (ownership_.owner != own_region_ || grantors_.empty())
    return std::nullopt;
  std::vector<Micros> expiries;
  for (const auto& grantor : grantors_)
    if (grantor.ballot == ownership_.ballot && grantor.expires_at > now)
      expiries.push_back(grantor.expires_at);
  if (!is_quorum(expiries.size()))
    return std::nullopt;
  std::sort(expiries.rbegin(), expiries.rend());
  return Lease{expiries[std::min(expiries.size() - 1, grantors_.size() / 2)],
               ownership_.ballot.counter > 0 ? started_at_ : Micros(0)};
}

bool LeaseHolder::owner_has_quorum(Micros now) const {
  return is_quorum(
      static_cast<std::size_t>(std::count_if(grantors_.begin(), grantors_.end(), [&](auto& grantor) {
        return grantor.answered && grantor.granted_to_owner && grantor.ballot == ownership_.ballot &&
               grantor.answered_request_at + terms_.lease > now;
      })));
}

bool LeaseHolder::quorum_answers(Micros now) const {
  return is_quorum(
      static_cast<std::size_t>(std::count_if(grantors_.begin(), grantors_.end(), [&](auto& grantor) {
        return grantor.answered && grantor.answered_request_at + terms_.lease > now;
      })));
}

}  // namespace lemonroute::pools
