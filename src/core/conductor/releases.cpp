#include "base/log.h"
#include "core/conductor/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros release_again = milliseconds(60);  // between tries to have a state let go
constexpr Micros release_answer = milliseconds(250);  // a node that is reached has answered by then
constexpr Micros release_for = seconds(4);  // the node has certainly dropped it itself, or died, by then

}  // namespace

void Conductor::start_release(Entry& entry, HostId holder) {
  Released& released = releases_.emplace_back();
  released.request = entry.id;
  released.id = entry.prompt.id;
  released.holder = holder;
  released.until = clock_.now() + release_for;
  try_release(released);
}

// Asks the holder first. If it can't be reached, every other node may be asked as well, in turn.
void Conductor::try_release(Released& released) {
  const Entry* entry = find(released.request);
  // Guards the state of a later read: while an attempt is out nothing counts as left, and the call would
  // take away what that attempt is about to use.
  const bool wait = released.tries > 0 && entry && entry->out;
  if (entry && entry->out && entry->out->started) return drop_release(released);
  const auto again = [this, &released] {
    if (clock_.now() >= released.until) {
      logging::warn() << "state of " << released.id << " could not be let go";
      return drop_release(released);
    }
    released.timer = timers_.add(clock_.now() + release_again, [this, &released] { try_release(released); });
  };
  if (wait) return again();
  const Node* node = nullptr;
  if (const auto holder = known_.find(released.holder); released.tries % 2 == 0 && holder != known_.end())
    node = &holder->second;
  else if (const auto ready = ready_nodes(); ready > 0) {
    auto nth = (released.tries / 2) % ready;
    for (const auto& [id, one] : known_)
      if (one.ready() && nth-- == 0) {
        node = &one;
        break;
      }
  }
  ++released.tries;
  if (!node) return again();
  released.call = nodes_.release(*node, released.id, [this, &released, again](bool arrived) {
    timers_.drop(released.timer);
    logging::debug() << released.id << (arrived ? " is let go" : " could not be let go yet");
    if (arrived) drop_release(released);
    else again();
    if (on_change) on_change();
  });
  // Guards against a machine that has vanished with the connection open: the call never arrives and nothing
  // tells so, while the state goes on being held there or the program waits to end.
  released.timer = timers_.add(clock_.now() + release_answer, [this, &released, again] {
    released.call.reset();
    again();
  });
}

void Conductor::drop_release(Released& released) {
  timers_.drop(released.timer);
  releases_.remove_if([&](const Released& one) { return &one == &released; });
}

}  // namespace lemonroute
