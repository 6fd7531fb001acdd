#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;

// A node that stays silent in the middle of a stream is given up before the client has waited for 5 s.
constexpr Micros stream_silence = milliseconds(4500);

const char* word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "served";
    case Outcome::prefill_done:
      return "read";
    case Outcome::timeout:
      return "timed out";
    case Outcome::not_applicable:
      return "moot";
    case Outcome::rejected_over_capacity:
      return "turned away";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "could not connect";
  }
  return "?";
}

}  // namespace

void Router::on_attempt_data(AttemptState& attempt, std::string_view data) {
  RequestState& entry = *find(attempt.request);
  restart_stream_timer(attempt);
  record_answer(attempt.endpoint);
  if (!std::exchange(attempt.streaming, true)) {
    // What a cut read may have left at another node than the one whose state is taken now is still there.
    if (entry.has_reservation)
      std::erase_if(entry.orphaned_reservations,
                    [&](const auto& left) { return left.endpoint == entry.reservation.endpoint; });
    logging::debug() << entry.prompt.id << " attempt " << attempt.number << " at " << attempt.node
                     << ": streams";
    enqueue(FirstTokenReceived{attempt.request, attempt.endpoint, attempt.number,
                               clock_.now() - attempt.sent_at});
  }
  // It began as its client left, where attempts may not be called off: a stream that nobody reads ends.
  if (!entry.client) {
    timers_.cancel(attempt.timer);
    attempt.timer = timers_.add(clock_.now(), [this, &attempt] {
      on_attempt_done(attempt, {Outcome::cancelled, 0, {}, "its client has gone"});
    });
    if (on_change)
      on_change();
    return;
  }
  if (entry.client->on_data(data))
    return;
  // Guards a slow client's stream: while it is held back the node's silence is of our own making.
  timers_.cancel(attempt.timer);
  attempt.call->pause_reading(true);
}

void Router::restart_stream_timer(AttemptState& attempt) {
  timers_.cancel(attempt.timer);
  attempt.timer =
      timers_.add(clock_.now() + stream_silence, [this, &attempt] { on_stream_stalled(attempt); });
}

// Danger: a send that was right when it was decided and is wrong by the time its connection comes up, or a
// place on one is free: to a node that drains by then, of a repeat that its class allows no more, or while a
// state waits at a reader for which nothing is out. So it is taken back.
void Router::limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult or_else) {
  if (!attempt.not_sent() || (attempt.start_deadline_timer && attempt.start_deadline_timer->first <= at))
    return;
  if (attempt.start_deadline_timer)
    timers_.cancel(*attempt.start_deadline_timer);
  attempt.start_deadline_timer = timers_.add(at, [this, &attempt, or_else = std::move(or_else)] {
    attempt.start_deadline_timer.reset();
    if (!attempt.not_sent())
      return;
    // Nothing is out, so what a cut read may have left is let go of before another attempt is made.
    if (RequestState& entry = *find(attempt.request); !entry.orphaned_reservations.empty())
      release_orphaned(entry);
    on_attempt_done(attempt, or_else);
  });
}

// Guards against a result that lives in the call, which is let go of here: it is taken by value.
void Router::on_attempt_done(AttemptState& attempt, AttemptResult result) {
  RequestState& entry = *find(attempt.request);
  timers_.cancel(attempt.timer);
  // Guards the nodes' good name, and the others' time: what one node can't use no node can. The fault is the
  // client's, who is told at once.
  if (result.bad_request)
    result.outcome = Outcome::not_applicable;
  const std::unique_ptr<AttemptState> ended = std::move(entry.attempt);
  logging::debug() << entry.prompt.id << " attempt " << attempt.number << " at " << attempt.node << ": "
                   << word(result.outcome) << (result.detail.empty() ? "" : ", ") << result.detail;
  if (result.bad_request)
    logging::info() << "node " << attempt.node << " can't use " << entry.prompt.id << ", " << result.detail;
  if (result.outcome == Outcome::error || result.outcome == Outcome::reset)
    logging::info() << "node " << attempt.node << ": attempt " << word(result.outcome) << ", "
                    << result.detail;
  if (const auto node = known_nodes_.find(attempt.endpoint);
      node != known_nodes_.end() && !result.load_report.empty()) {
    node->second.load_report = result.load_report;
    node->second.load_reported_at = clock_.now();
  }
  const bool tells = entry.adopted && result.outcome != Outcome::cancelled;
  // One that was called off, or ran out of time, before anything of it had left: nothing is held for it
  // either.
  const bool given_up = result.outcome == Outcome::cancelled || result.outcome == Outcome::timeout;
  const bool never_ran = result.outcome == Outcome::rejected_over_capacity ||
                         result.outcome == Outcome::connect_failed ||
                         result.outcome == Outcome::not_applicable || (given_up && ended->not_sent());
  const bool may_have_run = attempt.streaming || (!never_ran && result.outcome != Outcome::prefill_done &&
                                                  attempt.role != Role::prefill);
  if (may_have_run && !std::exchange(entry.may_have_run, true) && entry.retry_window < Micros::max())
    entry.retry_deadline = attempt.sent_at + entry.retry_window;
  update_reservation(entry, *ended, result, never_ran);
  update_last_contact(*ended, result.outcome);
  Client* client = entry.client;
  const bool finished = !client || result.outcome == Outcome::ok || attempt.streaming || result.bad_request;
  if (client && finished) {
    close_client(entry);
    ++(result.outcome == Outcome::ok ? entry.counts->answered : entry.counts->failed);
  }
  AttemptCompleted completed{attempt.request,  result.outcome,
                             finished,         clock_.now() - attempt.sent_at,
                             attempt.endpoint, result.cached_tokens,
                             attempt.number,   parse_load(result.load_report, settings_.report_columns)};
  if (const auto node = known_nodes_.find(attempt.endpoint); node != known_nodes_.end())
    report_to_observer(entry, *ended, node->second, completed);
  ended->call.reset();
  if (client && result.outcome == Outcome::ok)
    client->finish();
  else if (client && result.bad_request)
    client->fail(FailureReason::bad_request);
  else if (client && finished)
    client->abort_stream();
  // The module never heard of a stream that another process began. What its end tells of the node counts all
  // the same: a process that has just started hears of a writer's load by nothing else until its own first
  // streams end.
  HealthResult health{completed.endpoint, completed.outcome, Micros(0),
                      tells ? completed.load_report : std::vector<float>{}};
  enqueue(std::move(completed));
  if (tells)
    enqueue(std::move(health));
}

// What an attempt that ended says of the state that is held for its request.
void Router::update_reservation(RequestState& entry, const AttemptState& ended, const AttemptResult& result,
                                bool never_ran) {
  const Micros now = clock_.now();
  const bool lost = result.outcome == Outcome::rejected_over_capacity && result.cached_tokens == 1;
  const bool read = result.outcome == Outcome::prefill_done;
  const bool cut =
      !never_ran && !ended.release_ordered && ended.role != Role::decode && !ended.streaming && !read;
  entry.has_reservation = read || (entry.has_reservation && !lost && !ended.streaming);
  // An answer of its node says that an earlier read there, whose connection was closed, has come to its end.
  if (read || cut)
    std::erase_if(entry.orphaned_reservations,
                  [&](const auto& left) { return left.endpoint == ended.endpoint; });
  if (read)
    entry.reservation = {ended.endpoint, ended.process_started_at, now, false};
  if (cut)
    entry.orphaned_reservations.push_back(
        {ended.endpoint, ended.process_started_at, now, result.outcome != Outcome::error});
  const bool turned_away =
      result.outcome == Outcome::rejected_over_capacity && !ended.not_sent();  // it was out until now
  // An attempt that its node answered was out until now. Of any other one that is not known, it may be in a
  // network cut: what waited before it waits on.
  const bool arrived = read || turned_away || result.outcome == Outcome::error;
  const bool may_wait = entry.has_reservation || !entry.orphaned_reservations.empty();
  if (ended.streaming || !may_wait)
    entry.reservation_idle_since.reset();
  else if (arrived || !entry.reservation_idle_since)
    entry.reservation_idle_since = now;
}

// One that was called off, or that has not left, says nothing of its node.
void Router::update_last_contact(const AttemptState& ended, Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
    case Outcome::prefill_done:
    case Outcome::error:
      return record_answer(ended.endpoint);
    case Outcome::rejected_over_capacity:
      return ended.not_sent() ? void() : record_answer(ended.endpoint);
    case Outcome::timeout:
    case Outcome::reset:
    case Outcome::connect_failed:
      return record_failure(ended.endpoint);
    case Outcome::not_applicable:
    case Outcome::cancelled:
      return;
  }
}

void Router::record_answer(EndpointId host) {
  if (known_nodes_.count(host))
    last_contact_[host].last_answer = clock_.now();
}

void Router::record_failure(EndpointId host) {
  if (known_nodes_.count(host))
    last_contact_[host].last_failure = clock_.now();
}

// What an attempt that ended says of its node, for this router's peers.
void Router::report_to_observer(const RequestState& entry, const AttemptState& ended, const Node& node,
                                const AttemptCompleted& completed) {
  if (!observer_)
    return;
  const Micros now = clock_.now();
  const bool has_read = completed.outcome == Outcome::prefill_done || completed.outcome == Outcome::ok;
  if (ended.role != Role::decode && has_read) {
    // What was found there is told first: it is held against what was known until now.
    observer_->on_cache_hit(node, entry.session_key, entry.shared_prefix_key, completed.cached_tokens, now);
    observer_->on_prefix_cached(node, entry.session_key, entry.shared_prefix_key, entry.prompt_tokens,
                                entry.shared_prefix_tokens, now);
  }
  const auto& columns = settings_.report_columns;
  const auto held = std::find(columns.begin(), columns.end(), "x0");
  const auto at = static_cast<std::size_t>(held - columns.begin());
  if (ended.role != Role::prefill && settings_.report_x0_is_memory && at < completed.load_report.size())
    demand_.record_load_report(ended.endpoint, completed.load_report[at], now);
}

void Router::on_stream_stalled(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::reset, 0, {}, "the stream fell silent"});
}
void Router::on_attempt_timeout(AttemptState& attempt) {
  on_attempt_done(attempt, {Outcome::timeout, 0, {}, "no answer in time"});
}

}  // namespace lemonroute
