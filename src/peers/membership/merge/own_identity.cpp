#include "peers/membership/merge/own_identity.h"

#include <algorithm>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

OwnIdentity::Change OwnIdentity::apply_claim(const Fact& claim, Micros now, std::uint64_t unix_now) {
  if (own_.standing == Standing::left)
    return Change::nothing;
  if (process_id(claim) == process_id(own_)) {
    const bool contradicts = claim.standing != Standing::alive || claim.incarnation > own_.incarnation;
    if (superseded() || !contradicts || claim.incarnation < own_.incarnation)
      return Change::nothing;
    own_.incarnation = claim.incarnation + 1;
    if (own_.incarnation < limits::max_incarnation)
      return Change::refuted;
    // No router refutes this often, so the claim was false. It leaves no greater incarnation to refute with,
    // but a newer start overrides it.
    own_.incarnation = 0;
    ++own_.start;
    return Change::refuted;
  }
  if (process_id(claim) < process_id(own_))
    return Change::nothing;
  const std::uint64_t latest_start = unix_now + limits::max_start_ahead_us;
  // A start in the far future is not believed, as in judge_claim(). A claim with this router's own address is
  // an exception: it may be an earlier process, started before this host's clock was set back.
  if (claim.start > latest_start && own_.start <= latest_start && claim.address != own_.address)
    return Change::nothing;
  if (successor_ && process_id(claim) < process_id(*successor_))
    return Change::nothing;
  const bool new_successor = !successor_ || process_id(claim) != process_id(*successor_);
  if (!new_successor && claim.is_live() && claim.incarnation <= successor_->incarnation)
    return Change::nothing;
  if (new_successor)
    superseded_at_ = now, successor_heard_ = false;
  successor_ = claim;
  if (!claim.is_live())
    return reclaim();  // the newer process has ended
  return new_successor ? Change::superseded : Change::updated;
}

void OwnIdentity::record_packet(const Fact& sender, Micros) {
  if (successor_ && process_id(sender) == process_id(*successor_))
    successor_heard_ = true;
}

OwnIdentity::Change OwnIdentity::check_reclaim(Micros now) {
  if (!successor_ || successor_heard_ || now - superseded_at_ < period_ * limits::reclaim_name_periods)
    return Change::nothing;
  return reclaim();
}

OwnIdentity::Change OwnIdentity::reclaim() {
  own_.start = successor_->start + 1;
  own_.incarnation = 0;
  successor_.reset();
  return Change::reclaimed;
}

}  // namespace lemonroute::peers::membership
