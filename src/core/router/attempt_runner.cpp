#include "core/router/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;

// A node that stays silent in the middle of a stream is given up before its client has waited for 5 s.
constexpr Micros stream_idle_timeout = milliseconds(4500);

// Within this time a node has noticed that a call to it was closed, in its own zone or in another one.
constexpr Micros close_propagation = milliseconds(5);

}  // namespace

AttemptRunner::AttemptRunner(const RouterContext& context, Collaborators collaborators)
    : context_(context),
      requests_(collaborators.requests),
      nodes_(collaborators.nodes),
      releaser_(collaborators.releaser),
      events_(collaborators.events),
      reporter_(collaborators.reporter) {}

// Whether an attempt there would repeat one that may have run. A replaced configuration may call the endpoint
// a prefill node by now; what counts for the attempt that may have run is the role that it was sent to.
bool AttemptRunner::repeats(const RequestState& request, EndpointId endpoint) const {
  return request.may_have_run && nodes_.role_of(endpoint) != Role::prefill;
}

// The Scheduler keeps these rules by itself. They are checked again because an attempt that breaks one of
// them would reach a node and could run a request twice.
std::optional<Outcome> AttemptRunner::reason_not_to_send(const RequestState* request, std::uint16_t number,
                                                         EndpointId endpoint, Micros now) const {
  if (!request || !request->client || request->attempt)
    return Outcome::not_applicable;
  if (now >= request->deadline || number >= request->max_attempts)
    return Outcome::not_applicable;
  if (request->not_idempotent && request->may_have_run)
    return Outcome::not_applicable;
  if (repeats(*request, endpoint) && now >= request->retry_deadline)
    return Outcome::not_applicable;
  if (!nodes_.is_ready(endpoint))
    return Outcome::connect_failed;
  return std::nullopt;
}

void AttemptRunner::start(const Send& send) {
  RequestState* request = requests_.find(send.id);
  const std::uint16_t number = request ? request->attempt_count++ : std::uint16_t(0);
  const Micros now = context_.now();
  if (const auto reason = reason_not_to_send(request, number, send.endpoint, now)) {
    const bool request_finished = !request || !request->client;
    events_.append(
        AttemptCompleted{send.id, *reason, request_finished, Micros(0), send.endpoint, 0, number, {}});
    return;
  }
  const Micros time_left = request->deadline - now;
  const Micros timeout = send.timeout > Micros(0) ? std::min(send.timeout, time_left) : time_left;
  const Node& node = *nodes_.find(send.endpoint);
  const bool is_repeat = repeats(*request, send.endpoint);
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

// Told that the reservation is lost, the Scheduler drops it and has the prompt prefilled again if there is
// time.
void AttemptRunner::limit_idle_reservation(const RequestState& request, AttemptState& attempt) {
  const Micros due_at = releaser_.release_due_at(*request.reservation_idle_since);
  AttemptResult result_if_not_sent{Outcome::connect_failed, 0, {}, "reservation idle too long"};
  if (request.has_reservation) {
    result_if_not_sent.outcome = Outcome::rejected_over_capacity;
    result_if_not_sent.cached_tokens = no_reservation_at_node;
  }
  limit_attempt_start(attempt, due_at, std::move(result_if_not_sent));
  schedule_untaken_release(attempt, due_at);
}

// An attempt that was written into a network partition, or to a process that hangs, looks like one that waits
// in its node's queue, although it has not arrived and nothing takes the reservation. A release does not
// touch a reservation that an attempt at a node waits for, so it is made whether or not this attempt has
// arrived.
void AttemptRunner::schedule_untaken_release(AttemptState& attempt, Micros due_at) {
  attempt.reservation_timer.set(context_.timers, due_at, [this, &attempt] {
    attempt.reservation_timer.cancel();
    if (!attempt.streaming && !attempt.not_sent())
      releaser_.release_untaken(*requests_.find(attempt.request));
  });
}

// An attempt that was right when the Scheduler chose it may be wrong by the time its connection is
// established or a stream on one is free: its node drains by then, its class allows no retry any more, or a
// reservation has been idle too long. Such an attempt is taken back.
void AttemptRunner::limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult result_if_not_sent) {
  const auto limited_to = attempt.start_deadline_timer.due_at();
  if (!attempt.not_sent() || (limited_to && *limited_to <= at))
    return;
  attempt.start_deadline_timer.set(context_.timers, at,
                                   [this, &attempt, result = std::move(result_if_not_sent)] {
                                     attempt.start_deadline_timer.cancel();
                                     if (!attempt.not_sent())
                                       return;
                                     // No attempt is under way, so what a cut prefill may have left is
                                     // released before the next one starts.
                                     RequestState& request = *requests_.find(attempt.request);
                                     if (!request.orphaned_reservations.empty())
                                       releaser_.release_orphaned(request);
                                     on_attempt_done(attempt, result);
                                   });
}

// Half of what the settings allow is left to the wire.
void AttemptRunner::limit_starts_at_draining_nodes() {
  for (const auto& [id, request] : requests_.all()) {
    if (!request->attempt || request->attempt->streaming)
      continue;
    if (!nodes_.is_ready(request->attempt->endpoint))
      limit_attempt_start(*request->attempt, context_.now() + context_.settings.drain_grace / 2,
                          {Outcome::connect_failed, 0, {}, "node draining"});
  }
}

// The node hears over one connection that a sent attempt was closed, and another node hears over another one
// of the next attempt. A next attempt that arrived first would run beside this one. So the call is closed at
// once, and the Scheduler is told only when the node has noticed.
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
  const Micros noticed_at = std::min(context_.now() + close_propagation, *attempt.timer.due_at());
  attempt.timer.set(context_.timers, noticed_at,
                    [this, &attempt, cancelled] { on_attempt_done(attempt, cancelled); });
}

// The Scheduler does not cancel an attempt that streams. Where the settings forbid cancellation it leaves
// others alone as well; but one that was not sent would start later for nobody, and no node has heard of it.
void AttemptRunner::on_client_disconnected(RequestState& request) {
  AttemptState* attempt = request.attempt.get();
  if (attempt && (attempt->streaming || attempt->not_sent()))
    on_attempt_done(*attempt, {Outcome::cancelled, 0, {}, "client disconnected"});
}

void AttemptRunner::resume_stream(RequestId id) {
  const RequestState* request = requests_.find(id);
  if (!request || !request->is_streaming())
    return;
  request->attempt->call->pause_reading(false);
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
  restart_stream_timer(attempt);
  return true;
}

void AttemptRunner::on_attempt_data(AttemptState& attempt, std::string_view data) {
  RequestState& request = *requests_.find(attempt.request);
  restart_stream_timer(attempt);
  nodes_.record_answer(attempt.endpoint);
  if (!std::exchange(attempt.streaming, true))
    on_first_event(request, attempt);
  // The stream began as its client disconnected, where the settings forbid cancellation: nobody reads it.
  if (!request.client) {
    attempt.timer.set(context_.timers, context_.now(), [this, &attempt] {
      on_attempt_done(attempt, {Outcome::cancelled, 0, {}, "client disconnected"});
    });
    context_.notify_change();
    return;
  }
  if (request.client->on_data(data))
    return;
  // While the stream is paused for a slow client, the node's silence is this router's own doing and must not
  // count as a stalled stream.
  attempt.timer.cancel();
  attempt.call->pause_reading(true);
}

void AttemptRunner::on_first_event(RequestState& request, AttemptState& attempt) {
  // The stream takes the reservation of one node. What a cut prefill may have left at other nodes is still
  // there.
  if (request.has_reservation)
    request.forget_orphaned_reservation(request.reservation.endpoint);
  logging::debug() << "attempt streaming: request=" << request.prompt.id << " attempt=" << attempt.number
                   << " node=" << attempt.node;
  events_.enqueue(FirstTokenReceived{attempt.request, attempt.endpoint, attempt.number,
                                     context_.now() - attempt.sent_at});
}

void AttemptRunner::restart_stream_timer(AttemptState& attempt) {
  attempt.timer.set(context_.timers, context_.now() + stream_idle_timeout,
                    [this, &attempt] { on_stream_stalled(attempt); });
}

void AttemptRunner::on_stream_stalled(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::reset, 0, {}, "stream idle timeout"});
}

void AttemptRunner::on_attempt_timeout(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::timeout, 0, {}, "no answer in time"});
}

}  // namespace lemonroute
