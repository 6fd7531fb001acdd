// What a saying does to what is held of a member. Sayings are ordered (process, incarnation, standing), so
// that all who heard the same hold the same, whatever the order; but `gone` is never taken over at once: it
// only makes this router ask, or its own suspicion shorter. A member that can answer always has the time
// to.
#pragma once

#include "peers/membership/entry.h"

namespace lemonroute::peers::membership {

enum class Verdict {
  nothing,      // held already, or older than what is held
  unknown,      // a member that is not known, and is there
  newer,        // another process of that name, a later one
  older,        // a process of that name that was replaced: it still talks
  refuted,      // it is alive, by a later word than all that was said against it
  suspect,      // begin to suspect it
  confirm,      // one more suspects it
  hearsay,      // somebody holds it gone whom nobody here suspects
  left,         // it said that it ends
  implausible,  // not believed
};

// `unix_now`: this router's own clock, in us. It only serves to refuse a start in the far future, and only
// where the start that is held does not lie there as well: then it is this clock that is wrong.
Verdict judge(const Entry* held, const Fact& said, std::uint64_t unix_now);

}  // namespace lemonroute::peers::membership
