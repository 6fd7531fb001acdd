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
    milliseconds(300);                             // of a process that ends; it is killed 200 ms later
constexpr std::size_t most_open = 3;               // calls under way for one state,
constexpr std::size_t most_open_of_all = 128;      // and of all of them together
constexpr Micros least_open = milliseconds(20);    // before a call makes room for another one
constexpr Micros clock_error = milliseconds(500);  // between the clocks of a node and of this process

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
  released.due = entry.state_waits.value_or(released.since) + release_time();
  end_release_by(released);
  released.tries = 0;
  released.asked.clear();
  released.arrived = false;
  try_release(released);
}

void Router::let_go_leftovers(RequestState& entry) {
  start_release(entry, std::exchange(entry.leftovers, {}));
  entry.state_waits.reset();
}

// What a read that is called off may leave is let go of before the next one goes out: a release that comes
// later would take away what that one leaves. Its node is late, so another one is asked beside it.
void Router::let_go_called_off(RequestState& entry, AttemptState& attempt) {
  if (attempt.role == Role::write || entry.holds)
    return;
  attempt.let_go = true;
  std::erase_if(entry.leftovers, [&](const auto& left) { return left.host == attempt.host; });
  entry.leftovers.push_back({attempt.host, attempt.process, clock_.now(), true});
  let_go_leftovers(entry);
  const auto released = std::find_if(releases_.begin(), releases_.end(),
                                     [&](const auto& one) { return one.request == entry.id; });
  if (released == releases_.end())
    return;
  if (const Node* other = other_to_ask(*released); other && make_place(*released))
    ask_to_release(*released, *other);
}

// Danger: an attempt that was written on a connection into a network cut, or to a process that hangs, looks
// like one that waits in its node's queue; but it has not arrived, and nothing takes the state. A release
// does not touch a state that an attempt at a node waits for, so it is made whether or not this one has
// arrived.
void Router::release_unless_taken(AttemptState& attempt) {
  const RequestState& entry = *find(attempt.request);
  const Micros at = release_begins(*entry.state_waits);
  attempt.state_timer = timers_.add(at, [this, &attempt] {
    attempt.state_timer.reset();
    if (!attempt.started && !attempt.unsent())
      let_go_untaken(*find(attempt.request));
  });
}

// An attempt that was written, and has been neither answered nor closed.
bool Router::awaits_answer(const RequestState& entry) {
  return entry.out && entry.out->call && !entry.out->started && !entry.out->unsent();
}

bool Router::prefills(const RequestState& entry) {
  return !entry.holds && awaits_answer(entry);
}

bool Router::decodes(const RequestState& entry) {
  return entry.holds && awaits_answer(entry);
}

void Router::let_go_untaken(RequestState& entry) {
  std::vector<StateHolder> holders = std::exchange(entry.leftovers, {});
  if (entry.holds)
    holders.push_back(entry.held);
  if (!holders.empty())
    start_release(entry, holders);
}

void Router::end_release_by(PendingRelease& released) const {
  if (waits_end_)
    released.until = std::min(released.until, *waits_end_ + release_after_waits);
}

// Guards the state of a later read: the call would take away what an attempt is about to use. So it waits
// while that attempt streams, and until what was read has to be let go of whether or not that attempt has
// arrived.
bool Router::waits_for_attempt(const PendingRelease& released) const {
  const RequestState* entry = find(released.request);
  if (released.tries == 0 || !entry)
    return false;
  if (entry->out && entry->out->started)
    return true;
  if (prefills(*entry))
    return released.arrived || clock_.now() < released.due - release_time() / 2;
  const bool told = entry->out && released.told_during == entry->out->number;
  const bool awaits_attempt = told || (entry->client && entry->holds);
  return awaits_attempt && entry->state_waits && clock_.now() < release_begins(*entry->state_waits);
}

// A node's process that was started anew holds nothing of before. Of one that has gone from the list that is
// not certain: it may hang, and end its read well when it goes on. So others are told for as long as they are
// for a holder that is listed.
void Router::forget_ended_holders(PendingRelease& released) const {
  std::erase_if(released.holders, [&](const StateHolder& holder) {
    const auto node = known_.find(holder.host);
    if (node == known_.end())
      return released.arrived && !asks_others_too(released);
    const Micros started = node->second.listed_start;
    return started != holder.process && started >= holder.since + clock_error;
  });
  // Whose state streams now has been asked for it.
  const RequestState* entry = find(released.request);
  if (entry && entry->out && entry->out->started && entry->holds)
    std::erase_if(released.holders, [&](const auto& one) { return one.host == entry->held.host; });
}

// Guards against a machine that has vanished with the connection open: the call never arrives and nothing
// tells so, while the state goes on being held there or the program waits to end.
void Router::close_unanswered(PendingRelease& released) {
  std::erase_if(released.open, [&](const ReleaseCall& open) {
    const bool unanswered = clock_.now() - open.at >= release_patience();
    if (unanswered)
      note_failed(open.host);
    return unanswered;
  });
}

void Router::wait_for_attempt(PendingRelease& released, const RequestState& entry) {
  const Micros now = clock_.now();
  const bool streams = entry.out && entry.out->started;
  const Micros pause = streams ? stream_looked_at : release_again;
  released.since += pause;  // nothing is held in the meantime
  released.until += pause;
  if (!prefills(entry))
    released.due = entry.state_waits.value_or(now) + release_time();
  else if (released.arrived)
    released.due = now + release_time();
  end_release_by(released);
  try_release_at(released, now + pause);
}

void Router::try_release(PendingRelease& released) {
  close_unanswered(released);
  forget_ended_holders(released);
  if (released.holders.empty())
    return drop_release(released);
  const Micros now = clock_.now();
  if (waits_for_attempt(released))
    return wait_for_attempt(released, *find(released.request));
  if (now >= released.until) {
    logging::warn() << "state of " << released.id << " could not be let go";
    return drop_release(released);
  }
  const Node* node = asked_to_release(released);
  if (!node || waits_for_holder(released, node->id) || !make_place(released))
    return try_release_at(released, now + release_again);
  ask_to_release(released, *node);
  try_release_at(released, now + release_step(released));
}

// Guards the process's descriptors, each call has a connection of its own: once the state is let go of, a
// holder that hangs is asked by one call at a time whether it goes on.
bool Router::waits_for_holder(const PendingRelease& released, HostId host) const {
  if (!released.arrived || answered_since(host, released.since))
    return false;
  return std::any_of(releases_.begin(), releases_.end(), [&](const PendingRelease& one) {
    return &one != &released &&
           std::any_of(one.open.begin(), one.open.end(), [&](const auto& call) { return call.host == host; });
  });
}

// Where all places are taken, the call that has been open the longest makes room: a node that is reached
// would have answered it.
bool Router::make_place(const PendingRelease& released) {
  std::size_t open = 0;
  PendingRelease* oldest = nullptr;
  for (PendingRelease& one : releases_) {
    open += one.open.size();
    if (&one != &released && !one.open.empty() && (!oldest || one.open.front().at < oldest->open.front().at))
      oldest = &one;
  }
  if (open < most_open_of_all)
    return true;
  if (!oldest || clock_.now() - oldest->open.front().at < least_open)
    return false;
  oldest->open.erase(oldest->open.begin());
  return true;
}

void Router::ask_to_release(PendingRelease& released, const Node& node) {
  if (released.open.size() >= most_open)
    released.open.erase(released.open.begin());
  ++released.tries;
  ++released.asked[node.id];
  const std::uint64_t number = next_release_call_++;
  const RequestState* entry = find(released.request);
  const bool during_attempt = entry && decodes(*entry);
  released.open.push_back({number, node.id, clock_.now(), during_attempt, nullptr});
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
    const ReleaseCall answered = std::move(*open);
    released.open.erase(open);
    arrived ? release_arrived(released, answered) : release_failed(released, answered);
    break;
  }
  if (on_change)
    on_change();
}

void Router::release_failed(PendingRelease& released, const ReleaseCall& call) {
  logging::debug() << released.id << " could not be let go yet";
  note_failed(call.host);
  try_release_at(released, clock_.now() + release_again);
}

// Danger: a release lets go of nothing that a decode waits for, so one that came while an attempt was out
// says only that nothing has waited until then. What is left when that attempt ends, and its node may end it
// without a word, has to be let go of anew.
void Router::release_arrived(PendingRelease& released, const ReleaseCall& call) {
  note_answered(call.host);
  RequestState* entry = find(released.request);
  if (entry && decodes(*entry)) {
    entry->state_waits = call.at;
    released.due = call.at + release_time();
    released.told_during = entry->out->number;
    return try_release_at(released, clock_.now() + release_again);
  }
  if (call.during_attempt)
    return try_release_at(released, clock_.now());
  logging::debug() << released.id << " is let go";
  released.arrived = true;
  std::erase_if(released.holders,
                [&](const StateHolder& one) { return one.host == call.host || !one.unfinished; });
  if (released.holders.empty())
    drop_release(released);
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
