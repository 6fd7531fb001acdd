// How a received claim changes what is known of a member. Claims are ordered by (process, incarnation,
// standing), so that routers that received the same claims agree, in whatever order they arrived. A claim of
// `gone` is never adopted directly: it only makes this router ask the member, or shortens its own suspicion,
// so that a member that can answer always has time to refute.
#pragma once

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

/// What to do with a claim.
enum class Verdict {
  ignore,         ///< Ignore it: it is known already, or older than what is known.
  add_member,     ///< Add the member: it is not known, and claimed to be alive or suspected.
  newer_process,  ///< Replace the member's process: the claim is about a newer process of its name.
  older_process,  ///< The claim is about an older process of the name, which was replaced but still runs.
  refuted,        ///< The member is alive: its incarnation is greater than that of all claims against it.
  suspect,        ///< Begin to suspect the member.
  confirm,        ///< Count a confirmation of the suspicion.
  gone_claim,     ///< Another router claims a member to be gone that this router does not suspect.
  left,           ///< The member announced that it leaves.
  implausible,    ///< Ignore and count it: its start is too far in the future.
};

/// Judges a claim about a member; `held` is null if the member is not known. `unix_now` is this router's
/// clock in microseconds. It serves only to refuse a start in the far future, unless the known start lies
/// there too, since then this router's clock is the wrong one.
Verdict judge_claim(const Entry* held, const Fact& claim, std::uint64_t unix_now);

}  // namespace lemonroute::peers::membership
