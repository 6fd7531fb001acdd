#include <algorithm>
#include <vector>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros release_again = milliseconds(60);  // between tries to have a state let go
constexpr std::size_t release_round = 4;            // of so many tries one asks the holder
// A node that is reached has answered by then, or by a part of the time that the settings give.
constexpr Micros release_answer = milliseconds(250);
constexpr Micros release_for = seconds(4);  // the node has certainly dropped it itself, or died, by then

}  // namespace

void Router::start_release(RequestState& entry, HostId holder) {
  PendingRelease& released = releases_.emplace_back();
  released.request = entry.id;
  released.id = entry.prompt.id;
  released.holder = holder;
  released.until = clock_.now() + release_for;
  try_release(released);
}

void Router::let_go_leftover(RequestState& entry) {
  entry.state_waits.reset();
  start_release(entry, *std::exchange(entry.leftover, std::nullopt));
}

// The holder first, and at every fourth try again; in between every other ready node in turn, each of which
// takes the call as well. Guards against a holder that is lost and listed still: asked at every second try,
// and in its turn among the others, it took up all of the time there is to have its state let go.
const Node* Router::asked_to_release(const PendingRelease& released) const {
  const auto holder = known_.find(released.holder);
  std::vector<const Node*> others;
  for (const auto& [id, one] : known_)
    if (one.ready() && id != released.holder)
      others.push_back(&one);
  const auto round = released.tries % release_round;
  if (holder != known_.end() && (round == 0 || others.empty()))
    return &holder->second;
  // The id parts requests, so that not all of them ask the same other node.
  const auto nth = released.request + released.tries - released.tries / release_round;
  return others.empty() ? nullptr : others[nth % others.size()];
}

void Router::try_release(PendingRelease& released) {
  const RequestState* entry = find(released.request);
  // Guards the state of a later read: while an attempt is out nothing counts as left, and the call would
  // take away what that attempt is about to use.
  // One that has not begun does not count: its connection may not come up for longer than the state may stay.
  const bool wait = released.tries > 0 && entry && entry->out && !entry->out->unsent();
  if (entry && entry->out && entry->out->started)
    return drop_release(released);
  const auto again = [this, &released] {
    if (clock_.now() >= released.until) {
      logging::warn() << "state of " << released.id << " could not be let go";
      return drop_release(released);
    }
    released.timer = timers_.add(clock_.now() + release_again, [this, &released] { try_release(released); });
  };
  if (wait)
    return again();
  const Node* node = asked_to_release(released);
  ++released.tries;
  if (!node)
    return again();
  released.call = nodes_.release(*node, released.id, [this, &released, again](bool arrived) {
    timers_.drop(released.timer);
    logging::debug() << released.id << (arrived ? " is let go" : " could not be let go yet");
    if (arrived)
      drop_release(released);
    else
      again();
    if (on_change)
      on_change();
  });
  // Guards against a machine that has vanished with the connection open: the call never arrives and nothing
  // tells so, while the state goes on being held there or the program waits to end.
  const Micros within = settings_.release_within;
  const Micros patience = within > Micros(0)
                              ? std::min(release_answer, within / static_cast<Micros::rep>(release_round))
                              : release_answer;
  released.timer = timers_.add(clock_.now() + patience, [this, &released, again] {
    released.call.reset();
    again();
  });
}

void Router::drop_release(PendingRelease& released) {
  timers_.drop(released.timer);
  releases_.remove_if([&](const PendingRelease& one) { return &one == &released; });
}

}  // namespace lemonroute
