#include "core/router/reservation_releaser.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros stream_check_interval = milliseconds(250);  // while a release waits for the end of a stream
constexpr Micros release_lifetime = seconds(30);             // covers the duration of a network partition
constexpr Micros clock_error = milliseconds(500);            // maximum skew of a node's clock

}  // namespace

ReservationReleaser::ReservationReleaser(const RouterContext& context, RequestTable& requests,
                                         NodeRegistry& nodes)
    : context_(context),
      requests_(requests),
      nodes_(nodes),
      schedule_(context, nodes),
      targets_(context, nodes, schedule_) {}

Micros ReservationReleaser::release_due_at(Micros idle_since) const {
  return schedule_.release_due_at(idle_since);
}

void ReservationReleaser::set_shutdown_deadline(Micros at) {
  schedule_.set_shutdown_deadline(at);
  for (PendingRelease& pending : releases_)
    schedule_.limit_to_shutdown(pending);
}

void ReservationReleaser::release_reservation(RequestState& request) {
  std::vector<ReservationHolder> holders{request.reservation};
  for (const ReservationHolder& orphaned : std::exchange(request.orphaned_reservations, {}))
    if (orphaned.endpoint != request.reservation.endpoint)
      holders.push_back(orphaned);
  start_release(request, holders);
  request.reservation_idle_since.reset();
  request.has_reservation = false;
}

void ReservationReleaser::release_orphaned(RequestState& request) {
  start_release(request, std::exchange(request.orphaned_reservations, {}));
  request.reservation_idle_since.reset();
}

void ReservationReleaser::release_unclaimed(RequestState& request) {
  std::vector<ReservationHolder> holders = std::exchange(request.orphaned_reservations, {});
  if (request.has_reservation)
    holders.push_back(request.reservation);
  if (!holders.empty())
    start_release(request, holders);
}

void ReservationReleaser::release_cancelled_prefill(RequestState& request, AttemptState& attempt) {
  if (attempt.role == Role::decode || request.has_reservation)
    return;
  attempt.release_ordered = true;
  request.forget_orphaned_reservation(attempt.endpoint);
  request.orphaned_reservations.push_back(
      {attempt.endpoint, attempt.process_started_at, context_.now(), true});
  release_orphaned(request);
  const auto pending = std::find_if(releases_.begin(), releases_.end(),
                                    [&](const auto& release) { return release.request == request.id; });
  if (pending == releases_.end())
    return;
  // The prefill node is slow, so another node is called in addition.
  const Node* other = targets_.other_target(*pending);
  if (other && reserve_call_slot(*pending))
    send_release(*pending, *other);
}

void ReservationReleaser::start_release(const RequestState& request,
                                        const std::vector<ReservationHolder>& holders) {
  const auto found = std::find_if(releases_.begin(), releases_.end(),
                                  [&](const auto& release) { return release.id == request.prompt.id; });
  PendingRelease& pending = found == releases_.end() ? releases_.emplace_back() : *found;
  pending.timer.cancel();
  pending.request = request.id;
  pending.id = request.prompt.id;
  for (const ReservationHolder& holder : holders) {
    std::erase_if(pending.holders, [&](const auto& earlier) { return earlier.endpoint == holder.endpoint; });
    pending.holders.push_back(holder);
  }
  // The new holders precede those of an earlier release.
  std::rotate(pending.holders.begin(), pending.holders.end() - static_cast<std::ptrdiff_t>(holders.size()),
              pending.holders.end());
  pending.since = context_.now();
  pending.expires_at = pending.since + release_lifetime;
  pending.due_at = request.reservation_idle_since.value_or(pending.since) + schedule_.release_timeout();
  schedule_.limit_to_shutdown(pending);
  pending.calls_made = 0;
  pending.calls_by_endpoint.clear();
  pending.acknowledged = false;
  try_release(pending);
}

void ReservationReleaser::try_release(PendingRelease& pending) {
  expire_release_calls(pending);
  drop_restarted_holders(pending);
  if (pending.holders.empty())
    return drop_release(pending);
  const Micros now = context_.now();
  if (waits_for_attempt(pending))
    return postpone_release(pending, *requests_.find(pending.request));
  if (now >= pending.expires_at) {
    logging::warn() << "reservation release abandoned: request=" << pending.id
                    << " calls=" << pending.calls_made;
    return drop_release(pending);
  }
  const Node* node = targets_.next_target(pending);
  if (!node || waits_for_holder(pending, node->id) || !reserve_call_slot(pending))
    return schedule_release(pending, now + retry_pause);
  send_release(pending, *node);
  schedule_release(pending, now + schedule_.retry_interval(pending));
}

void ReservationReleaser::schedule_release(PendingRelease& pending, Micros at) {
  pending.timer.set(context_.timers, at, [this, &pending] { try_release(pending); });
}

void ReservationReleaser::drop_release(PendingRelease& pending) {
  releases_.remove_if([&](const PendingRelease& release) { return &release == &pending; });
}

// A release call during an attempt could release the KV cache that the attempt is about to use. So the calls
// are postponed while an attempt is streaming. While an attempt waits for its result, they are postponed
// until the reservation must be released whether or not that attempt has arrived at its node.
bool ReservationReleaser::waits_for_attempt(const PendingRelease& pending) const {
  const RequestState* request = requests_.find(pending.request);
  if (pending.calls_made == 0 || !request)
    return false;
  if (request->is_streaming())
    return true;
  if (request->awaits_prefill_result())
    return pending.acknowledged || context_.now() < pending.due_at - schedule_.release_timeout() / 2;
  const bool acknowledged =
      request->attempt && pending.acknowledged_during_attempt == request->attempt->number;
  const bool expects_attempt = acknowledged || (request->client && request->has_reservation);
  return expects_attempt && request->reservation_idle_since &&
         context_.now() < schedule_.release_due_at(*request->reservation_idle_since);
}

void ReservationReleaser::postpone_release(PendingRelease& pending, const RequestState& request) {
  const Micros now = context_.now();
  const Micros pause = request.is_streaming() ? stream_check_interval : retry_pause;
  pending.since += pause;  // no reservation is idle in the meantime
  pending.expires_at += pause;
  if (!request.awaits_prefill_result())
    pending.due_at = request.reservation_idle_since.value_or(now) + schedule_.release_timeout();
  else if (pending.acknowledged)
    pending.due_at = now + schedule_.release_timeout();
  schedule_.limit_to_shutdown(pending);
  schedule_release(pending, now + pause);
}

// A node that has restarted holds no KV cache from before the restart. A node that has left the endpoint list
// may be hanging and complete its prefill later, so it remains a holder for as long as a listed node would.
void ReservationReleaser::drop_restarted_holders(PendingRelease& pending) const {
  std::erase_if(pending.holders, [&](const ReservationHolder& holder) {
    const Node* node = nodes_.find(holder.endpoint);
    if (!node)
      return pending.acknowledged && !schedule_.notifies_other_nodes(pending);
    const Micros started_at = node->listed_start;
    return started_at != holder.process_started_at && started_at >= holder.since + clock_error;
  });
  // The decode node of an active stream has already taken the KV cache from the reservation's node.
  const RequestState* request = requests_.find(pending.request);
  if (request && request->is_streaming() && request->has_reservation)
    std::erase_if(pending.holders,
                  [&](const auto& holder) { return holder.endpoint == request->reservation.endpoint; });
}

// Each call uses a connection, and thus a file descriptor, of its own. Therefore, once its release has
// arrived at any node, a release does not call a hanging holder that another release is calling.
bool ReservationReleaser::waits_for_holder(const PendingRelease& pending, EndpointId endpoint) const {
  if (!pending.acknowledged || nodes_.has_answered_since(endpoint, pending.since))
    return false;
  const auto calls_endpoint = [&](const ReleaseCall& call) { return call.endpoint == endpoint; };
  return std::any_of(releases_.begin(), releases_.end(), [&](const PendingRelease& other) {
    return &other != &pending && std::any_of(other.calls.begin(), other.calls.end(), calls_endpoint);
  });
}

}  // namespace lemonroute
