#include "core/router/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;

// Ends a stream whose node stops sending before the client has waited for 5 s.
constexpr Micros stream_idle_timeout = milliseconds(4500);

// Within this time a node in any zone detects that a call to it was closed.
constexpr Micros close_propagation_delay = milliseconds(5);

}  // namespace

AttemptRunner::AttemptRunner(const RouterContext& context, Dependencies dependencies)
    : context_(context),
      requests_(dependencies.requests),
      nodes_(dependencies.nodes),
      releaser_(dependencies.releaser),
      events_(dependencies.events),
      reporter_(dependencies.reporter) {}

// Returns whether an attempt at the endpoint would repeat one that may have run. New settings may have made
// the endpoint a prefill node; for the earlier attempt, the role at the time of sending decides whether it
// may have run.
bool AttemptRunner::would_repeat(const RequestState& request, EndpointId endpoint) const {
  return request.may_have_run && nodes_.role_of(endpoint) != Role::prefill;
}

// Only nodes of one group detect each other's repeats of a request with a key.
bool AttemptRunner::may_repeat_at(const RequestState& request, EndpointId endpoint) const {
  if (!request.first_run_location || endpoint == request.first_run_endpoint)
    return true;
  const Node* node = nodes_.find(endpoint);
  return node && request.first_run_location->in_same_group(node->location(), request.retry_scope);
}

// The Scheduler enforces these rules itself. They are checked again because an attempt that violates one of
// them could execute a request twice.
std::optional<Outcome> AttemptRunner::reason_not_to_send(const RequestState* request, std::uint16_t number,
                                                         EndpointId endpoint, Micros now) const {
  if (!request || !request->client || request->attempt)
    return Outcome::not_applicable;
  if (now >= request->deadline || number >= request->max_attempts)
    return Outcome::not_applicable;
  if (request->not_idempotent && request->may_have_run)
    return Outcome::not_applicable;
  if (would_repeat(*request, endpoint) && now >= request->retry_deadline)
    return Outcome::not_applicable;
  if (would_repeat(*request, endpoint) && !may_repeat_at(*request, endpoint))
    return Outcome::not_applicable;
  if (!nodes_.is_ready(endpoint))
    return Outcome::connect_failed;
  return std::nullopt;
}

// A client may have disconnected without the front's knowledge: the end of its connection is read last, and
// other events may come first after the process was held up.
void AttemptRunner::detach_disconnected_client(RequestState* request) {
  if (!request || !request->client || !request->client->has_disconnected())
    return;
  logging::debug() << "client disconnected: request=" << request->prompt.id
                   << " attempts=" << request->attempt_count;
  Client& client = *request->client;
  requests_.close_client(*request);
  client.on_disconnected();
  events_.enqueue(ClientDisconnected{request->id});
}

void AttemptRunner::start(const Send& send) {
  RequestState* request = requests_.find(send.id);
  detach_disconnected_client(request);
  const std::uint16_t number = request ? request->attempt_count++ : std::uint16_t(0);
  const Micros now = context_.now();
  if (const auto reason = reason_not_to_send(request, number, send.endpoint, now)) {
    const bool request_finished = !request || !request->client;
    events_.enqueue_deferred(
        AttemptCompleted{send.id, *reason, request_finished, Micros(0), send.endpoint, 0, number, {}});
    return;
  }
  const Micros time_left = request->deadline - now;
  const Micros timeout = send.timeout > Micros(0) ? std::min(send.timeout, time_left) : time_left;
  const Node& node = *nodes_.find(send.endpoint);
  const bool is_repeat = would_repeat(*request, send.endpoint);
  request->attempt =
      std::make_unique<AttemptState>(*this, send.id, number, node, nodes_.role_of(send.endpoint), now);
  AttemptState& attempt = *request->attempt;
  logging::debug() << "attempt started: request=" << request->prompt.id << " attempt=" << number
                   << " node=" << node.name;
  attempt.timer.set(context_.timers, now + timeout, [this, &attempt] { on_attempt_timeout(attempt); });
  attempt.call = context_.transport.start_attempt(node, request->prompt, timeout, attempt);
  if (is_repeat && request->retry_deadline < now + timeout)
    limit_attempt_start(attempt, request->retry_deadline,
                        {Outcome::connect_failed, 0, {}, "retry window over"});
  if (request->reservation_idle_since && context_.settings.reservation_release_timeout > Micros(0))
    limit_idle_reservation(*request, attempt);
}

// The attempt is reported as rejected for a lost reservation, so that the Scheduler drops the reservation
// and, if time permits, has the prompt prefilled again.
void AttemptRunner::limit_idle_reservation(const RequestState& request, AttemptState& attempt) {
  const Micros due_at = releaser_.release_due_at(*request.reservation_idle_since);
  AttemptResult result_if_not_sent{Outcome::connect_failed, 0, {}, "reservation idle too long"};
  if (request.has_reservation) {
    result_if_not_sent.outcome = Outcome::rejected_over_capacity;
    result_if_not_sent.cached_tokens = no_reservation_at_node;
  }
  limit_attempt_start(attempt, due_at, std::move(result_if_not_sent));
  schedule_unclaimed_release(attempt, due_at);
}

// An attempt that is lost in a network partition or sent to a hanging process cannot be distinguished from
// one that waits in its node's queue, although it will not use the reservation. A release does not affect a
// reservation that an attempt at a node waits for, so the release is sent whether or not this attempt has
// arrived.
void AttemptRunner::schedule_unclaimed_release(AttemptState& attempt, Micros due_at) {
  attempt.reservation_timer.set(context_.timers, due_at, [this, &attempt] {
    attempt.reservation_timer.cancel();
    if (!attempt.streaming && !attempt.not_sent())
      releaser_.release_unclaimed(*requests_.find(attempt.request));
  });
}

// An attempt that was valid when the Scheduler chose it may be invalid by the time a connection is
// established or an HTTP/2 stream is available: its node drains, its retry window is over, or a reservation
// has been idle too long. Such an attempt is withdrawn.
void AttemptRunner::limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult result_if_not_sent) {
  const auto current_limit = attempt.start_deadline_timer.due_at();
  if (!attempt.not_sent() || (current_limit && *current_limit <= at))
    return;
  attempt.start_deadline_timer.set(context_.timers, at,
                                   [this, &attempt, result = std::move(result_if_not_sent)] {
                                     attempt.start_deadline_timer.cancel();
                                     if (!attempt.not_sent())
                                       return;
                                     // No attempt is in progress at a node, so what an interrupted prefill
                                     // may have left is released before the next attempt starts.
                                     RequestState& request = *requests_.find(attempt.request);
                                     if (!request.orphaned_reservations.empty())
                                       releaser_.release_orphaned(request);
                                     on_attempt_done(attempt, result);
                                   });
}

// Half of the grace period in the settings is reserved for the network delay.
void AttemptRunner::limit_starts_at_draining_nodes() {
  for (const auto& [id, request] : requests_.all()) {
    if (!request->attempt || request->attempt->streaming)
      continue;
    if (!nodes_.is_ready(request->attempt->endpoint))
      limit_attempt_start(*request->attempt, context_.now() + context_.settings.drain_grace / 2,
                          {Outcome::connect_failed, 0, {}, "node draining"});
  }
}

// The cancellation and the next attempt reach two nodes over different connections. If the next attempt
// arrived first, both would run at the same time. So the call is closed at once, but the Scheduler gets the
// result only when the node has had time to detect the closed call.
void AttemptRunner::cancel(const CancelAttempt& cancel) {
  RequestState* request = requests_.find(cancel.id);
  if (!request || !request->attempt || request->attempt->number != cancel.attempt ||
      request->attempt->streaming)
    return;
  AttemptState& attempt = *request->attempt;
  const AttemptResult cancelled{Outcome::cancelled, 0, {}, "cancelled by the scheduler"};
  const bool next_attempt_possible = !attempt.not_sent() && request->client;
  if (!next_attempt_possible)
    return on_attempt_done(attempt, cancelled);
  attempt.call.reset();
  releaser_.release_cancelled_prefill(*request, attempt);
  const Micros detected_at = std::min(context_.now() + close_propagation_delay, *attempt.timer.due_at());
  attempt.timer.set(context_.timers, detected_at,
                    [this, &attempt, cancelled] { on_attempt_done(attempt, cancelled); });
}

// The Scheduler does not cancel an attempt that is streaming, and cancels no attempt at all where the
// settings forbid cancellation. An attempt that was not sent is ended all the same: no node has received it,
// and it would start later without a client.
void AttemptRunner::on_client_disconnected(RequestState& request) {
  AttemptState* attempt = request.attempt.get();
  if (attempt && (attempt->streaming || attempt->not_sent()))
    on_attempt_done(*attempt, {Outcome::cancelled, 0, {}, "client disconnected"});
}

void AttemptRunner::resume_stream(RequestId id) {
  const RequestState* request = requests_.find(id);
  if (!request || !request->is_streaming())
    return;
  request->attempt->reading_paused = false;
  request->attempt->call->set_reading_paused(false);
  restart_stream_timer(*request->attempt);
  context_.notify_change();
}

void AttemptRunner::set_shutdown_deadline(Micros at) {
  for (const auto& [id, request] : requests_.all()) {
    if (!request->attempt || request->attempt->streaming)
      continue;
    AttemptState& attempt = *request->attempt;
    if (*attempt.timer.due_at() <= at)
      continue;
    attempt.timer.set(context_.timers, at, [this, &attempt] { on_attempt_timeout(attempt); });
  }
}

bool AttemptRunner::adopt(RequestState& request, const TransferredStream& stream, const Node& node) {
  request.attempt =
      std::make_unique<AttemptState>(*this, request.id, stream.attempt, node, Role::decode, context_.now());
  AttemptState& attempt = *request.attempt;
  attempt.streaming = true;
  attempt.call = context_.transport.adopt_stream(node, stream.call, attempt);
  if (!attempt.call)
    return false;
  set_stream_timer(attempt, context_.now() - std::max(stream.idle_for, Micros(0)));
  return true;
}

void AttemptRunner::on_attempt_progress(AttemptState& attempt) {
  if (!attempt.streaming || attempt.reading_paused)
    return;
  restart_stream_timer(attempt);
  context_.notify_change();
}

void AttemptRunner::on_attempt_data(AttemptState& attempt, std::string_view data) {
  RequestState& request = *requests_.find(attempt.request);
  restart_stream_timer(attempt);
  nodes_.record_answer(attempt.endpoint);
  if (!std::exchange(attempt.streaming, true))
    on_first_event(request, attempt);
  // The client disconnected before the stream started, and the settings forbid cancellation: the stream has
  // no reader.
  if (!request.client) {
    attempt.timer.set(context_.timers, context_.now(), [this, &attempt] {
      on_attempt_done(attempt, {Outcome::cancelled, 0, {}, "client disconnected"});
    });
    context_.notify_change();
    return;
  }
  if (request.client->on_data(data))
    return;
  // While reading is paused for a slow client, no data can arrive, which must not count as a stalled stream.
  attempt.timer.cancel();
  attempt.reading_paused = true;
  attempt.call->set_reading_paused(true);
}

void AttemptRunner::on_first_event(RequestState& request, AttemptState& attempt) {
  // The stream uses up the reservation at one node. What interrupted prefills may have left at other nodes is
  // still to be released.
  if (request.has_reservation)
    request.forget_orphaned_reservation(request.reservation.endpoint);
  logging::debug() << "attempt streaming: request=" << request.prompt.id << " attempt=" << attempt.number
                   << " node=" << attempt.node;
  events_.enqueue(FirstTokenReceived{attempt.request, attempt.endpoint, attempt.number,
                                     context_.now() - attempt.sent_at});
}

void AttemptRunner::restart_stream_timer(AttemptState& attempt) {
  set_stream_timer(attempt, context_.now());
}

void AttemptRunner::set_stream_timer(AttemptState& attempt, Micros last_data_at) {
  attempt.last_data_at = last_data_at;
  attempt.timer.set(context_.timers, last_data_at + stream_idle_timeout,
                    [this, &attempt] { on_stream_stalled(attempt); });
}

void AttemptRunner::on_stream_stalled(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::reset, 0, {}, "stream idle timeout"});
}

void AttemptRunner::on_attempt_timeout(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::timeout, 0, {}, "no answer in time"});
}

}  // namespace lemonroute
