#include "peers/membership/merge/judge_claim.h"

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {
namespace {

// Judges a claim about the known process, with an incarnation that is not older.
Verdict judge_same_process(const Fact& known, const Fact& claim) {
  const bool newer_incarnation = claim.incarnation > known.incarnation;
  switch (claim.standing) {
    case Standing::alive:
      return newer_incarnation ? Verdict::refuted : Verdict::ignore;
    case Standing::suspected:
      if (newer_incarnation || known.standing == Standing::alive)
        return Verdict::suspect;
      return known.standing == Standing::suspected ? Verdict::confirm : Verdict::ignore;
    case Standing::gone:
      if (known.standing == Standing::suspected)
        return newer_incarnation ? Verdict::suspect : Verdict::confirm;
      if (known.standing == Standing::alive)
        return Verdict::gone_claim;
      return Verdict::ignore;
    case Standing::left:
      return newer_incarnation || known.standing != Standing::left ? Verdict::left : Verdict::ignore;
  }
  return Verdict::ignore;
}

}  // namespace

Verdict judge_claim(const Entry* held, const Fact& claim, std::uint64_t unix_now) {
  if (!held)
    return claim.is_live() ? Verdict::add_member : Verdict::ignore;
  const Fact& known = held->fact;
  if (process_id(claim) < process_id(known))
    return Verdict::older_process;
  if (process_id(claim) > process_id(known)) {
    const std::uint64_t latest_start = unix_now + limits::max_start_ahead_us;
    return known.is_live() && claim.start > latest_start && known.start <= latest_start
               ? Verdict::implausible
               : Verdict::newer_process;
  }
  return claim.incarnation < known.incarnation ? Verdict::ignore : judge_same_process(known, claim);
}

}  // namespace lemonroute::peers::membership
