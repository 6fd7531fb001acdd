// State that is to be let go: the calls that are made for it, until one is known to have arrived (rule 5).
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros release_again = milliseconds(60);      // from a call that failed to the next one
constexpr Micros stream_looked_at = milliseconds(250);  // how often, while a stream has to end first
constexpr Micros release_for = seconds(30);             // a network cut may last so long
constexpr Micros release_after_waits =
    milliseconds(300);                         // of a process that ends; it is killed 200 ms later
constexpr std::size_t most_open = 3;           // calls under way for one state,
constexpr std::size_t most_open_of_all = 128;  // and of all of them together

}  // namespace

void Router::start_release(const RequestState& entry, const std::vector<StateHolder>& holders) {
  const auto pending = std::find_if(releases_.begin(), releases_.end(),
                                    [&](const auto& one) { return one.id == entry.prompt.id; });
  PendingRelease& released = pending == releases_.end() ? releases_.emplace_back() : *pending;
  timers_.drop(released.timer);
  released.request = entry.id;
  released.id = entry.prompt.id;
  for (const StateHolder& holder : holders) {
    std::erase_if(released.holders, [&](const auto& one) { return one.host == holder.host; });
    released.holders.push_back(holder);
  }
  // Those that an earlier call was for come last.
  std::rotate(released.holders.begin(), released.holders.end() - static_cast<std::ptrdiff_t>(holders.size()),
              released.holders.end());
  released.since = clock_.now();
  released.until = released.since + release_for;
  end_release_by(released);
  released.tries = 0;
  released.asked.clear();
  released.arrived = false;
  try_release(released);
}

void Router::let_go_leftovers(RequestState& entry) {
  entry.state_waits.reset();
  start_release(entry, std::exchange(entry.leftovers, {}));
}

void Router::end_release_by(PendingRelease& released) const {
  if (waits_end_)
    released.until = std::min(released.until, *waits_end_ + release_after_waits);
}

// Guards the state of a later read: while an attempt is out nothing counts as left, and the call would take
// away what that attempt is about to use. One that has not begun does not count: its connection may not come
// up for longer than the state may stay. Nor does one whose node has been silent ever since: it may be behind
// the same network cut that swallowed the first call, and never have heard of the attempt.
bool Router::waits_for_attempt(PendingRelease& released) const {
  const RequestState* entry = find(released.request);
  if (released.tries == 0 || !entry)
    return false;
  if (!entry->out || !entry->out->call)  // none, or one that was called off and has been closed
    return entry->client && entry->holds;
  const AttemptState& out = *entry->out;
  if (out.started)
    return true;
  if (out.unsent())
    return false;
  if (released.waits_for != out.number)
    released.waits_since = clock_.now();
  released.waits_for = out.number;
  const bool silent = !answered_since(out.host, released.waits_since);
  const bool overdue = clock_.now() - released.waits_since >= release_time() / 2;
  return released.arrived || !silent || !overdue;
}

// A node's process that was started anew holds nothing of before. Of one that has gone that is not certain,
// another node may tell it; unless one has been told already.
void Router::forget_ended_holders(PendingRelease& released) const {
  std::erase_if(released.holders, [&](const StateHolder& holder) {
    const auto node = known_.find(holder.host);
    if (node == known_.end())
      return released.arrived;
    const Micros started = node->second.listed_start;
    return started != holder.process && started >= holder.since;
  });
  // Whose state streams now has been asked for it.
  const RequestState* entry = find(released.request);
  if (entry && entry->out && entry->out->started && entry->holds)
    std::erase_if(released.holders, [&](const auto& one) { return one.host == entry->held.host; });
}

// Guards against a machine that has vanished with the connection open: the call never arrives and nothing
// tells so, while the state goes on being held there or the program waits to end.
void Router::close_unanswered(PendingRelease& released) {
  std::erase_if(released.open, [&](const PendingRelease::Open& open) {
    const bool unanswered = clock_.now() - open.at >= release_patience();
    if (unanswered)
      note_failed(open.host);
    return unanswered;
  });
}

void Router::try_release(PendingRelease& released) {
  close_unanswered(released);
  forget_ended_holders(released);
  if (released.holders.empty())
    return drop_release(released);
  const Micros now = clock_.now();
  if (waits_for_attempt(released)) {
    const bool streams = find(released.request)->out && find(released.request)->out->started;
    const Micros pause = streams ? stream_looked_at : release_again;
    released.since += pause;  // nothing is held in the meantime
    released.until += pause;
    end_release_by(released);
    return try_release_at(released, now + pause);
  }
  if (now >= released.until) {
    logging::warn() << "state of " << released.id << " could not be let go";
    return drop_release(released);
  }
  const Node* node = asked_to_release(released);
  if (!node || !has_place(released, node->id))
    return try_release_at(released, now + release_again);
  ask_to_release(released, *node);
  try_release_at(released, now + release_step(released));
}

// Guards the process's descriptors, each call has a connection of its own: a holder that hangs is asked by
// one call at a time whether it goes on.
bool Router::has_place(const PendingRelease& released, HostId host) const {
  std::size_t open = 0;
  bool asked = false;
  for (const PendingRelease& one : releases_) {
    if (&one == &released)
      continue;
    open += one.open.size();
    asked = asked || std::any_of(one.open.begin(), one.open.end(),
                                 [&](const auto& call) { return call.host == host; });
  }
  const bool hangs = released.arrived && asked && !answered_since(host, released.since);
  return open < most_open_of_all && !hangs;
}

void Router::ask_to_release(PendingRelease& released, const Node& node) {
  if (released.open.size() >= most_open)
    released.open.erase(released.open.begin());
  ++released.tries;
  ++released.asked[node.id];
  const std::uint64_t number = next_release_call_++;
  released.open.push_back({number, node.id, clock_.now(), nullptr});
  auto call =
      nodes_.release(node, released.id, [this, number](bool arrived) { release_answered(number, arrived); });
  released.open.back().call = std::move(call);
}

void Router::release_answered(std::uint64_t number, bool arrived) {
  for (PendingRelease& released : releases_) {
    const auto open = std::find_if(released.open.begin(), released.open.end(),
                                   [&](const auto& one) { return one.number == number; });
    if (open == released.open.end())
      continue;
    const HostId host = open->host;
    released.open.erase(open);
    logging::debug() << released.id << (arrived ? " is let go" : " could not be let go yet");
    if (!arrived) {
      note_failed(host);
      try_release_at(released, clock_.now() + release_again);
    } else {
      note_answered(host);
      released.arrived = true;
      std::erase_if(released.holders,
                    [&](const StateHolder& one) { return one.host == host || !one.unfinished; });
      if (released.holders.empty())
        drop_release(released);
    }
    break;
  }
  if (on_change)
    on_change();
}

void Router::try_release_at(PendingRelease& released, Micros at) {
  timers_.drop(released.timer);
  released.timer = timers_.add(at, [this, &released] { try_release(released); });
}

void Router::drop_release(PendingRelease& released) {
  timers_.drop(released.timer);
  releases_.remove_if([&](const PendingRelease& one) { return &one == &released; });
}

}  // namespace lemonroute
