#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

// A node has heard of the end of a call by then, in its own zone or in another one.
constexpr Micros end_is_heard = std::chrono::milliseconds(5);

}  // namespace

void Router::execute(const Send& send) {
  RequestState* entry = find(send.id);
  const auto node = known_nodes_.find(send.endpoint);
  const Micros now = clock_.now();
  const auto number = entry ? entry->attempt_count++ : std::uint16_t(0);
  const auto answer = [&](Outcome outcome) {
    events_.emplace_back(
        std::in_place_type<AttemptCompleted>,
        AttemptCompleted{
            send.id, outcome, !entry || !entry->client, Micros(0), send.endpoint, 0, number, {}});
  };
  // The module keeps these rules itself; a slip there must not reach a node.
  if (!entry || !entry->client || entry->attempt || now >= entry->deadline || number >= entry->max_attempts)
    return answer(Outcome::not_applicable);
  // Danger: doing twice what must be done once. A replaced configuration may call the node a reader by now;
  // what counts is what it was when the attempt went out.
  if (entry->not_idempotent && entry->may_have_run)
    return answer(Outcome::not_applicable);
  const bool repeats = entry->may_have_run && role_of(send.endpoint) != Role::prefill;
  if (repeats && now >= entry->retry_deadline)
    return answer(Outcome::not_applicable);
  if (node == known_nodes_.end() || !node->second.ready())
    return answer(Outcome::connect_failed);
  const Micros left = entry->deadline - now;
  const Micros within = send.timeout > Micros(0) ? std::min(send.timeout, left) : left;
  entry->attempt =
      std::make_unique<AttemptState>(*this, send.id, number, node->second, role_of(send.endpoint), now);
  AttemptState& attempt = *entry->attempt;
  logging::debug() << entry->prompt.id << " attempt " << number << " to " << node->second.name;
  attempt.timer = timers_.add(now + within, [this, &attempt] { on_attempt_timeout(attempt); });
  attempt.call = transport_.start_attempt(node->second, entry->prompt, within, attempt);
  if (repeats && entry->retry_deadline < now + within)
    limit_attempt_start(attempt, entry->retry_deadline,
                        {Outcome::connect_failed, 0, {}, "its class allows no repeat any more"});
  // Told that its state is lost the module lets go of it, and has the prompt read again if there is time.
  if (entry->reservation_idle_since && settings_.reservation_release_timeout > Micros(0)) {
    const AttemptResult or_else{
        entry->has_reservation ? Outcome::rejected_over_capacity : Outcome::connect_failed,
        entry->has_reservation ? 1u : 0u,
        {},
        "a state has waited too long"};
    limit_attempt_start(attempt, release_due_at(*entry->reservation_idle_since), or_else);
    schedule_untaken_release(attempt);
  }
}

void Router::execute(const RejectRequest& refuse) {
  RequestState* entry = find(refuse.id);
  if (!entry || !entry->client)
    return;
  if (entry->not_idempotent && entry->may_have_run)
    return execute(FailRequest{refuse.id});  // a refusal says that trying again is harmless
  Client& client = *entry->client;
  close_client(*entry);
  ++entry->counts->rejected;
  logging::debug() << entry->prompt.id << " refused after " << entry->attempt_count << " attempts";
  demand_.record_rejected();
  touched_requests_.push_back(refuse.id);
  client.reject(refuse.retry_after);
}

void Router::execute(const FailRequest& fail) {
  RequestState* entry = find(fail.id);
  if (!entry || !entry->client)
    return;
  Client& client = *entry->client;
  close_client(*entry);
  ++entry->counts->failed;
  logging::debug() << entry->prompt.id << " failed after " << entry->attempt_count << " attempts";
  touched_requests_.push_back(fail.id);
  client.fail(clock_.now() >= entry->deadline ? FailureReason::timed_out : FailureReason::not_retried);
}

// Danger: the node hears of the end of a sent attempt over one connection, another node of the next attempt
// over another one. An attempt that overtook that end would be out beside this one. So the call is closed at
// once, and the Scheduler hears of it when the node has heard.
void Router::execute(const CancelAttempt& cancel) {
  RequestState* entry = find(cancel.id);
  if (!entry || !entry->attempt || entry->attempt->number != cancel.attempt || entry->attempt->streaming)
    return;
  AttemptState& attempt = *entry->attempt;
  const AttemptResult called_off{Outcome::cancelled, 0, {}, "called off"};
  if (attempt.not_sent() || !entry->client)  // no next attempt that could overtake it
    return on_attempt_done(attempt, called_off);
  attempt.call.reset();
  release_cancelled_prefill(*entry, attempt);
  const Micros heard = std::min(clock_.now() + end_is_heard, attempt.timer.first);
  timers_.cancel(attempt.timer);
  attempt.timer = timers_.add(heard, [this, &attempt, called_off] { on_attempt_done(attempt, called_off); });
}

void Router::execute(const StartTimer& sleep) {
  timers_.add(clock_.now() + sleep.delay, [this, cookie = sleep.timer_id] { enqueue(TimerFired{cookie}); });
}

void Router::execute(const Probe& probe) {
  const auto node = known_nodes_.find(probe.endpoint);
  if (node == known_nodes_.end())
    return;
  const auto number = next_probe_++;
  const Micros sent = clock_.now();
  auto call = transport_.probe(
      node->second, [this, number, sent, host = probe.endpoint](const AttemptResult& result) {
        probes_.erase(number);
        enqueue(HealthResult{host, result.outcome, clock_.now() - sent,
                             parse_load(result.load_report, settings_.report_columns)});
      });
  probes_[number] = std::move(call);
}

void Router::execute(const CloseIdleConnections& hang_up) {
  const auto node = known_nodes_.find(hang_up.endpoint);
  if (node != known_nodes_.end())
    transport_.close_idle_connections(node->second);
}

void Router::execute(const Log& log) {
  logging::info() << "module: " << log.line;
}

void Router::execute(const ReleaseReservation& release) {
  RequestState* entry = find(release.id);
  if (!entry)
    return;
  std::vector<ReservationHolder> holders{entry->reservation};
  for (const ReservationHolder& left : std::exchange(entry->orphaned_reservations, {}))
    if (left.endpoint != entry->reservation.endpoint)
      holders.push_back(left);
  start_release(*entry, holders);
  entry->reservation_idle_since.reset();
  entry->has_reservation = false;
}

}  // namespace lemonroute
