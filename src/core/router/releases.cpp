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

void Router::start_release(const RequestState& entry, const std::vector<ReservationHolder>& holders) {
  const auto pending = std::find_if(releases_.begin(), releases_.end(),
                                    [&](const auto& one) { return one.id == entry.prompt.id; });
  PendingRelease& released = pending == releases_.end() ? releases_.emplace_back() : *pending;
  timers_.cancel(released.timer);
  released.request = entry.id;
  released.id = entry.prompt.id;
  for (const ReservationHolder& holder : holders) {
    std::erase_if(released.holders, [&](const auto& one) { return one.endpoint == holder.endpoint; });
    released.holders.push_back(holder);
  }
  // Those that an earlier call was for come last.
  std::rotate(released.holders.begin(), released.holders.end() - static_cast<std::ptrdiff_t>(holders.size()),
              released.holders.end());
  released.since = clock_.now();
  released.expires_at = released.since + release_for;
  released.due_at = entry.reservation_idle_since.value_or(released.since) + release_timeout();
  limit_release_to_shutdown(released);
  released.tries = 0;
  released.calls_by_endpoint.clear();
  released.arrived = false;
  try_release(released);
}

void Router::release_orphaned(RequestState& entry) {
  start_release(entry, std::exchange(entry.orphaned_reservations, {}));
  entry.reservation_idle_since.reset();
}

// What a read that is called off may leave is let go of before the next one goes out: a release that comes
// later would take away what that one leaves. Its node is late, so another one is asked beside it.
void Router::release_cancelled_prefill(RequestState& entry, AttemptState& attempt) {
  if (attempt.role == Role::decode || entry.has_reservation)
    return;
  attempt.release_ordered = true;
  std::erase_if(entry.orphaned_reservations,
                [&](const auto& left) { return left.endpoint == attempt.endpoint; });
  entry.orphaned_reservations.push_back({attempt.endpoint, attempt.process_started_at, clock_.now(), true});
  release_orphaned(entry);
  const auto released = std::find_if(releases_.begin(), releases_.end(),
                                     [&](const auto& one) { return one.request == entry.id; });
  if (released == releases_.end())
    return;
  if (const Node* other = other_target(*released); other && make_room_for_release(*released))
    send_release(*released, *other);
}

// Danger: an attempt that was written on a connection into a network cut, or to a process that hangs, looks
// like one that waits in its node's queue; but it has not arrived, and nothing takes the state. A release
// does not touch a state that an attempt at a node waits for, so it is made whether or not this one has
// arrived.
void Router::schedule_untaken_release(AttemptState& attempt) {
  const RequestState& entry = *find(attempt.request);
  const Micros at = release_due_at(*entry.reservation_idle_since);
  attempt.reservation_timer = timers_.add(at, [this, &attempt] {
    attempt.reservation_timer.reset();
    if (!attempt.streaming && !attempt.not_sent())
      release_untaken(*find(attempt.request));
  });
}

// An attempt that was written, and has been neither answered nor closed.
bool Router::awaits_answer(const RequestState& entry) {
  return entry.attempt && entry.attempt->call && !entry.attempt->streaming && !entry.attempt->not_sent();
}

bool Router::awaits_prefill_result(const RequestState& entry) {
  return !entry.has_reservation && awaits_answer(entry);
}

bool Router::awaits_decode_result(const RequestState& entry) {
  return entry.has_reservation && awaits_answer(entry);
}

void Router::release_untaken(RequestState& entry) {
  std::vector<ReservationHolder> holders = std::exchange(entry.orphaned_reservations, {});
  if (entry.has_reservation)
    holders.push_back(entry.reservation);
  if (!holders.empty())
    start_release(entry, holders);
}

void Router::limit_release_to_shutdown(PendingRelease& released) const {
  if (shutdown_deadline_)
    released.expires_at = std::min(released.expires_at, *shutdown_deadline_ + release_after_waits);
}

// Guards the state of a later read: the call would take away what an attempt is about to use. So it waits
// while that attempt streams, and until what was read has to be let go of whether or not that attempt has
// arrived.
bool Router::waits_for_attempt(const PendingRelease& released) const {
  const RequestState* entry = find(released.request);
  if (released.tries == 0 || !entry)
    return false;
  if (entry->attempt && entry->attempt->streaming)
    return true;
  if (awaits_prefill_result(*entry))
    return released.arrived || clock_.now() < released.due_at - release_timeout() / 2;
  const bool told = entry->attempt && released.notified_during_attempt == entry->attempt->number;
  const bool awaits_attempt = told || (entry->client && entry->has_reservation);
  return awaits_attempt && entry->reservation_idle_since &&
         clock_.now() < release_due_at(*entry->reservation_idle_since);
}

// A node's process that was started anew holds nothing of before. Of one that has gone from the list that is
// not certain: it may hang, and end its read well when it goes on. So others are told for as long as they are
// for a holder that is listed.
void Router::drop_restarted_holders(PendingRelease& released) const {
  std::erase_if(released.holders, [&](const ReservationHolder& holder) {
    const auto node = known_nodes_.find(holder.endpoint);
    if (node == known_nodes_.end())
      return released.arrived && !notifies_other_nodes(released);
    const Micros started = node->second.listed_start;
    return started != holder.process_started_at && started >= holder.since + clock_error;
  });
  // Whose state streams now has been asked for it.
  const RequestState* entry = find(released.request);
  if (entry && entry->attempt && entry->attempt->streaming && entry->has_reservation)
    std::erase_if(released.holders,
                  [&](const auto& one) { return one.endpoint == entry->reservation.endpoint; });
}

// Guards against a machine that has vanished with the connection open: the call never arrives and nothing
// tells so, while the state goes on being held there or the program waits to end.
void Router::expire_release_calls(PendingRelease& released) {
  std::erase_if(released.calls, [&](const ReleaseCall& open) {
    const bool unanswered = clock_.now() - open.sent_at >= release_call_timeout();
    if (unanswered)
      record_failure(open.endpoint);
    return unanswered;
  });
}

void Router::postpone_release(PendingRelease& released, const RequestState& entry) {
  const Micros now = clock_.now();
  const bool streams = entry.attempt && entry.attempt->streaming;
  const Micros pause = streams ? stream_looked_at : release_again;
  released.since += pause;  // nothing is held in the meantime
  released.expires_at += pause;
  if (!awaits_prefill_result(entry))
    released.due_at = entry.reservation_idle_since.value_or(now) + release_timeout();
  else if (released.arrived)
    released.due_at = now + release_timeout();
  limit_release_to_shutdown(released);
  schedule_release(released, now + pause);
}

void Router::try_release(PendingRelease& released) {
  expire_release_calls(released);
  drop_restarted_holders(released);
  if (released.holders.empty())
    return drop_release(released);
  const Micros now = clock_.now();
  if (waits_for_attempt(released))
    return postpone_release(released, *find(released.request));
  if (now >= released.expires_at) {
    logging::warn() << "state of " << released.id << " could not be let go";
    return drop_release(released);
  }
  const Node* node = next_release_target(released);
  if (!node || waits_for_holder(released, node->id) || !make_room_for_release(released))
    return schedule_release(released, now + release_again);
  send_release(released, *node);
  schedule_release(released, now + release_retry_interval(released));
}

// Guards the process's descriptors, each call has a connection of its own: once the state is let go of, a
// holder that hangs is asked by one call at a time whether it goes on.
bool Router::waits_for_holder(const PendingRelease& released, EndpointId host) const {
  if (!released.arrived || has_answered_since(host, released.since))
    return false;
  return std::any_of(releases_.begin(), releases_.end(), [&](const PendingRelease& one) {
    return &one != &released && std::any_of(one.calls.begin(), one.calls.end(),
                                            [&](const auto& call) { return call.endpoint == host; });
  });
}

// Where all places are taken, the call that has been open the longest makes room: a node that is reached
// would have answered it.
bool Router::make_room_for_release(const PendingRelease& released) {
  std::size_t open = 0;
  PendingRelease* oldest = nullptr;
  for (PendingRelease& one : releases_) {
    open += one.calls.size();
    if (&one != &released && !one.calls.empty() &&
        (!oldest || one.calls.front().sent_at < oldest->calls.front().sent_at))
      oldest = &one;
  }
  if (open < most_open_of_all)
    return true;
  if (!oldest || clock_.now() - oldest->calls.front().sent_at < least_open)
    return false;
  oldest->calls.erase(oldest->calls.begin());
  return true;
}

void Router::send_release(PendingRelease& released, const Node& node) {
  if (released.calls.size() >= most_open)
    released.calls.erase(released.calls.begin());
  ++released.tries;
  ++released.calls_by_endpoint[node.id];
  const std::uint64_t number = next_release_call_++;
  const RequestState* entry = find(released.request);
  const bool during_attempt = entry && awaits_decode_result(*entry);
  released.calls.push_back({number, node.id, clock_.now(), during_attempt, nullptr});
  auto call = transport_.release_reservation(
      node, released.id, [this, number](bool arrived) { on_release_answered(number, arrived); });
  released.calls.back().call = std::move(call);
}

void Router::on_release_answered(std::uint64_t number, bool arrived) {
  for (PendingRelease& released : releases_) {
    const auto open = std::find_if(released.calls.begin(), released.calls.end(),
                                   [&](const auto& one) { return one.number == number; });
    if (open == released.calls.end())
      continue;
    const ReleaseCall answered = std::move(*open);
    released.calls.erase(open);
    arrived ? on_release_acknowledged(released, answered) : on_release_failed(released, answered);
    break;
  }
  if (on_change)
    on_change();
}

void Router::on_release_failed(PendingRelease& released, const ReleaseCall& call) {
  logging::debug() << released.id << " could not be let go yet";
  record_failure(call.endpoint);
  schedule_release(released, clock_.now() + release_again);
}

// Danger: a release lets go of nothing that a decode waits for, so one that came while an attempt was out
// says only that nothing has waited until then. What is left when that attempt ends, and its node may end it
// without a word, has to be let go of anew.
void Router::on_release_acknowledged(PendingRelease& released, const ReleaseCall& call) {
  record_answer(call.endpoint);
  RequestState* entry = find(released.request);
  if (entry && awaits_decode_result(*entry)) {
    entry->reservation_idle_since = call.sent_at;
    released.due_at = call.sent_at + release_timeout();
    released.notified_during_attempt = entry->attempt->number;
    return schedule_release(released, clock_.now() + release_again);
  }
  if (call.during_attempt)
    return schedule_release(released, clock_.now());
  logging::debug() << released.id << " is let go";
  released.arrived = true;
  std::erase_if(released.holders, [&](const ReservationHolder& one) {
    return one.endpoint == call.endpoint || !one.prefill_may_complete;
  });
  if (released.holders.empty())
    drop_release(released);
}

void Router::schedule_release(PendingRelease& released, Micros at) {
  timers_.cancel(released.timer);
  released.timer = timers_.add(at, [this, &released] { try_release(released); });
}

void Router::drop_release(PendingRelease& released) {
  timers_.cancel(released.timer);
  releases_.remove_if([&](const PendingRelease& one) { return &one == &released; });
}

}  // namespace lemonroute
