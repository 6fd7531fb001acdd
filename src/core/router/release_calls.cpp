// ReservationReleaser: the calls to nodes and the handling of their results.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/router/reservation_releaser.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;

// Each call uses a connection, and thus a file descriptor, of its own.
constexpr std::size_t max_open_calls = 128;            // of all releases together
constexpr std::size_t max_open_calls_per_release = 3;  // the next call replaces the oldest one
// A younger call may still be answered, so it is not closed for the sake of another one.
constexpr Micros min_call_age = milliseconds(20);

}  // namespace

void ReservationReleaser::send_release(PendingRelease& pending, const Node& node) {
  if (pending.calls.size() >= max_open_calls_per_release)
    pending.calls.erase(pending.calls.begin());
  ++pending.calls_made;
  ++pending.calls_by_endpoint[node.id];
  const std::uint64_t number = next_call_number_++;
  const RequestState* request = requests_.find(pending.request);
  const bool during_attempt = request && request->awaits_decode_result();
  pending.calls.push_back({number, node.id, context_.now(), during_attempt, nullptr});
  auto call = context_.transport.release_reservation(
      node, pending.id, [this, number](bool arrived) { on_release_answered(number, arrived); });
  pending.calls.back().call = std::move(call);
}

void ReservationReleaser::on_release_answered(std::uint64_t number, bool arrived) {
  for (PendingRelease& pending : releases_) {
    const auto found = std::find_if(pending.calls.begin(), pending.calls.end(),
                                    [&](const auto& call) { return call.number == number; });
    if (found == pending.calls.end())
      continue;
    const ReleaseCall answered = std::move(*found);
    pending.calls.erase(found);
    arrived ? on_release_acknowledged(pending, answered) : on_release_failed(pending, answered);
    break;
  }
  context_.notify_change();
}

void ReservationReleaser::on_release_failed(PendingRelease& pending, const ReleaseCall& call) {
  logging::debug() << "release call failed: request=" << pending.id
                   << " node=" << nodes_.name_of(call.endpoint);
  nodes_.record_failure(call.endpoint);
  schedule_release(pending, context_.now() + retry_pause);
}

// A node does not release a reservation that a decode attempt waits for. So a call that it acknowledged
// during an attempt only proves that no reservation was idle until then. The node may end that attempt
// without reporting it, and what the attempt leaves must then be released by another call.
void ReservationReleaser::on_release_acknowledged(PendingRelease& pending, const ReleaseCall& call) {
  nodes_.record_answer(call.endpoint);
  RequestState* request = requests_.find(pending.request);
  if (request && request->awaits_decode_result()) {
    request->reservation_idle_since = call.sent_at;
    pending.due_at = call.sent_at + schedule_.release_timeout();
    pending.acknowledged_during_attempt = request->attempt->number;
    return schedule_release(pending, context_.now() + retry_pause);
  }
  if (call.during_attempt)
    return schedule_release(pending, context_.now());
  logging::debug() << "reservation released: request=" << pending.id
                   << " node=" << nodes_.name_of(call.endpoint);
  pending.acknowledged = true;
  std::erase_if(pending.holders, [&](const ReservationHolder& holder) {
    return holder.endpoint == call.endpoint || !holder.prefill_may_complete;
  });
  if (pending.holders.empty())
    drop_release(pending);
}

// If the machine of a node fails while the connection is open, the call gets neither an answer nor an error.
// After the timeout, calls to other nodes take its place.
void ReservationReleaser::expire_release_calls(PendingRelease& pending) {
  std::erase_if(pending.calls, [&](const ReleaseCall& call) {
    const bool expired = context_.now() - call.sent_at >= schedule_.call_timeout();
    if (expired)
      nodes_.record_failure(call.endpoint);
    return expired;
  });
}

// With max_open_calls in progress, closes the oldest call of another release: a reachable node would have
// answered it by now.
bool ReservationReleaser::reserve_call_slot(const PendingRelease& pending) {
  std::size_t calls = 0;
  PendingRelease* oldest = nullptr;
  for (PendingRelease& other : releases_) {
    calls += other.calls.size();
    if (&other == &pending || other.calls.empty())
      continue;
    if (!oldest || other.calls.front().sent_at < oldest->calls.front().sent_at)
      oldest = &other;
  }
  if (calls < max_open_calls)
    return true;
  if (!oldest || context_.now() - oldest->calls.front().sent_at < min_call_age)
    return false;
  oldest->calls.erase(oldest->calls.begin());
  return true;
}

}  // namespace lemonroute
