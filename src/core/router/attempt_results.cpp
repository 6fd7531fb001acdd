// AttemptRunner: classification of the results of attempts.
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/attempt_runner.h"

namespace lemonroute {

namespace {

const char* outcome_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::prefill_done:
      return "prefill_done";
    case Outcome::timeout:
      return "timeout";
    case Outcome::not_applicable:
      return "not_applicable";
    case Outcome::rejected_over_capacity:
      return "rejected_over_capacity";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "connect_failed";
  }
  return "unknown";
}

}  // namespace

// The result is passed by value, since the original may be part of the call, which this function destroys
// before it last uses the result.
void AttemptRunner::on_attempt_done(AttemptState& attempt, AttemptResult result) {
  RequestState& request = *requests_.find(attempt.request);
  attempt.timer.cancel();
  // A request that is invalid at one node is invalid at every node. The client gets the error at once, no
  // other node is tried, and the node's failure ratio must not increase.
  if (result.bad_request)
    result.outcome = Outcome::not_applicable;
  const std::unique_ptr<AttemptState> ended = std::move(request.attempt);
  log_result(request, *ended, result);
  if (!result.load_report.empty())
    nodes_.record_load_report(ended->endpoint, result.load_report, context_.now());
  record_closed_call(request, *ended, result);
  update_retry_deadline(request, *ended, result);
  update_reservation(request, *ended, result);
  update_last_contact(*ended, result.outcome);

  Client* client = request.client;
  const ClientAnswer answer = client_answer(request, *ended, result);
  close_answered_client(request, answer);
  const StreamOrigin origin = request.adopted ? StreamOrigin::other_process : StreamOrigin::this_process;
  const bool request_finished = !client || answer != ClientAnswer::none;
  AttemptCompleted completed{
      ended->request,   result.outcome,
      request_finished, context_.now() - ended->sent_at,
      ended->endpoint,  result.cached_tokens,
      ended->number,    parse_load_report(result.load_report, context_.settings.report_columns)};
  if (const Node* node = nodes_.find(ended->endpoint))
    reporter_.report_attempt(request, *ended, *node, completed);
  ended->call.reset();
  if (client)
    answer_client(*client, answer);
  report_completed(std::move(completed), origin);
}

// The Scheduler does not know the streams that another process started. The end of such a stream is still
// reported as a health result of its node: until its own first streams end, a process that has just started
// has no other source for a decode node's load.
void AttemptRunner::report_completed(AttemptCompleted completed, StreamOrigin origin) {
  const bool reports_health =
      origin == StreamOrigin::other_process && completed.outcome != Outcome::cancelled;
  HealthResult health{completed.endpoint, completed.outcome, Micros(0), {}};
  if (reports_health)
    health.load_report = completed.load_report;
  events_.enqueue(std::move(completed));
  if (reports_health)
    events_.enqueue(std::move(health));
}

void AttemptRunner::log_result(const RequestState& request, const AttemptState& ended,
                               const AttemptResult& result) {
  logging::debug() << "attempt finished: request=" << request.prompt.id << " attempt=" << ended.number
                   << " node=" << ended.node << " outcome=" << outcome_name(result.outcome) << " detail=\""
                   << result.detail << '"';
  if (result.bad_request)
    logging::info() << "bad request at node: request=" << request.prompt.id << " node=" << ended.node
                    << " detail=\"" << result.detail << '"';
  if (result.outcome == Outcome::error || result.outcome == Outcome::reset)
    logging::info() << "attempt failed: request=" << request.prompt.id << " attempt=" << ended.number
                    << " node=" << ended.node << " outcome=" << outcome_name(result.outcome) << " detail=\""
                    << result.detail << '"';
}

// An attempt that was cancelled or timed out before any part of it was sent has left nothing at its node.
bool AttemptRunner::never_ran(const AttemptState& ended, const AttemptResult& result) {
  switch (result.outcome) {
    case Outcome::rejected_over_capacity:
    case Outcome::connect_failed:
    case Outcome::not_applicable:
      return true;
    case Outcome::cancelled:
    case Outcome::timeout:
      return ended.not_sent();
    case Outcome::ok:
    case Outcome::prefill_done:
    case Outcome::error:
    case Outcome::reset:
      return false;
  }
  return false;
}

void AttemptRunner::update_retry_deadline(RequestState& request, const AttemptState& ended,
                                          const AttemptResult& result) {
  const bool may_have_answered =
      !never_ran(ended, result) && result.outcome != Outcome::prefill_done && ended.role != Role::prefill;
  if (!ended.streaming && !may_have_answered)
    return;
  if (std::exchange(request.may_have_run, true))
    return;
  request.first_run_endpoint = ended.endpoint;
  request.first_run_location = ended.location;
  if (request.retry_window < Micros::max())
    request.retry_deadline = ended.sent_at + request.retry_window;
}

// An answer or a rejection of the node has ended the attempt there as well.
void AttemptRunner::record_closed_call(RequestState& request, const AttemptState& ended,
                                       const AttemptResult& result) {
  const bool ended_by_router = result.outcome == Outcome::cancelled || result.outcome == Outcome::timeout ||
                               result.outcome == Outcome::reset;
  if (ended_by_router && !ended.not_sent())
    request.call_closed_at = context_.now();
}

void AttemptRunner::update_reservation(RequestState& request, const AttemptState& ended,
                                       const AttemptResult& result) {
  const Micros now = context_.now();
  const bool rejected = result.outcome == Outcome::rejected_over_capacity;
  const bool lost = rejected && result.cached_tokens == no_reservation_at_node;
  const bool prefill_done = result.outcome == Outcome::prefill_done;
  const bool prefill_interrupted = !never_ran(ended, result) && !ended.release_ordered &&
                                   ended.role != Role::decode && !ended.streaming && !prefill_done;
  request.has_reservation = prefill_done || (request.has_reservation && !lost && !ended.streaming);
  // An answer from the node shows that an earlier prefill there, whose call was closed, has ended.
  if (prefill_done || prefill_interrupted)
    request.forget_orphaned_reservation(ended.endpoint);
  if (prefill_done)
    request.reservation = {ended.endpoint, ended.process_started_at, now, false};
  if (prefill_interrupted)
    request.orphaned_reservations.push_back(
        {ended.endpoint, ended.process_started_at, now, result.outcome != Outcome::error});
  // An attempt that its node answered was in progress until now. Any other attempt may never have arrived,
  // for example because of a network partition: a reservation that was idle before it has been idle ever
  // since.
  const bool rejected_by_node = rejected && !ended.not_sent();
  const bool arrived = prefill_done || rejected_by_node || result.outcome == Outcome::error;
  const bool may_be_held = request.has_reservation || !request.orphaned_reservations.empty();
  if (ended.streaming || !may_be_held)
    request.reservation_idle_since.reset();
  else if (arrived || !request.reservation_idle_since)
    request.reservation_idle_since = now;
}

// An attempt that was cancelled or not sent gives no information about its node.
void AttemptRunner::update_last_contact(const AttemptState& ended, Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
    case Outcome::prefill_done:
    case Outcome::error:
      return nodes_.record_answer(ended.endpoint);
    case Outcome::rejected_over_capacity:
      if (!ended.not_sent())
        nodes_.record_answer(ended.endpoint);
      return;
    case Outcome::timeout:
    case Outcome::reset:
    case Outcome::connect_failed:
      return nodes_.record_failure(ended.endpoint);
    case Outcome::not_applicable:
    case Outcome::cancelled:
      return;
  }
}

AttemptRunner::ClientAnswer AttemptRunner::client_answer(const RequestState& request,
                                                         const AttemptState& ended,
                                                         const AttemptResult& result) {
  if (!request.client)
    return ClientAnswer::none;
  if (result.outcome == Outcome::ok)
    return ClientAnswer::finish;
  if (result.bad_request)
    return ClientAnswer::fail_as_bad_request;
  return ended.streaming ? ClientAnswer::abort_stream : ClientAnswer::none;
}

void AttemptRunner::close_answered_client(RequestState& request, ClientAnswer answer) {
  if (answer == ClientAnswer::none)
    return;
  requests_.close_client(request);
  ++(answer == ClientAnswer::finish ? request.counts->answered : request.counts->failed);
}

void AttemptRunner::answer_client(Client& client, ClientAnswer answer) {
  switch (answer) {
    case ClientAnswer::finish:
      return client.finish();
    case ClientAnswer::fail_as_bad_request:
      return client.fail(FailureReason::bad_request);
    case ClientAnswer::abort_stream:
      return client.abort_stream();
    case ClientAnswer::none:
      return;
  }
}

}  // namespace lemonroute
