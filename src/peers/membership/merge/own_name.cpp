#include "peers/membership/merge/own_name.h"

#include <algorithm>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

OwnName::Then OwnName::told(const Fact& of_me, Micros now, std::uint64_t unix_now) {
  if (own_.standing == Standing::left)
    return Then::nothing;
  if (process(of_me) == process(own_)) {
    const bool against = of_me.standing != Standing::alive || of_me.incarnation > own_.incarnation;
    if (superseded() || !against || of_me.incarnation < own_.incarnation)
      return Then::nothing;
    own_.incarnation = of_me.incarnation + 1;
    if (own_.incarnation < limits::incarnation)
      return Then::refuted;
    // Nobody refutes so often: a liar's number, above which there is no room. A start voids it.
    own_.incarnation = 0;
    ++own_.start;
    return Then::refuted;
  }
  if (process(of_me) < process(own_))
    return Then::nothing;
  const std::uint64_t most = unix_now + limits::ahead;
  // As the others judge it too; but at its own address it may be its own past, from before its clock was set
  // back.
  if (of_me.start > most && own_.start <= most && of_me.address != own_.address)
    return Then::nothing;
  if (later_ && process(of_me) < process(*later_))
    return Then::nothing;
  const bool new_one = !later_ || process(of_me) != process(*later_);
  if (!new_one && of_me.there() && of_me.incarnation <= later_->incarnation)
    return Then::nothing;
  if (new_one)
    since_ = now, confirmed_ = false;
  later_ = of_me;
  if (!of_me.there())
    return reclaim();  // one that has ended holds no name
  return new_one ? Then::superseded : Then::updated;
}

void OwnName::heard(const Fact& sender, Micros) {
  if (later_ && process(sender) == process(*later_))
    confirmed_ = true;
}

OwnName::Then OwnName::check(Micros now) {
  if (!later_ || confirmed_ || now - since_ < period_ * limits::claim)
    return Then::nothing;
  return reclaim();
}

OwnName::Then OwnName::reclaim() {
  own_.start = later_->start + 1;
  own_.incarnation = 0;
  later_.reset();
  return Then::reclaimed;
}

}  // namespace lemonroute::peers::membership
