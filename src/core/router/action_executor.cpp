#include "core/router/action_executor.h"

#include <utility>
#include <variant>
#include <vector>

#include "base/log.h"
#include "core/load_report.h"

namespace lemonroute {

ActionExecutor::ActionExecutor(const RouterContext& context, Dependencies dependencies)
    : context_(context),
      scheduler_(dependencies.scheduler),
      requests_(dependencies.requests),
      client_ids_(dependencies.client_ids),
      nodes_(dependencies.nodes),
      releaser_(dependencies.releaser),
      attempts_(dependencies.attempts),
      events_(dependencies.events),
      reporter_(dependencies.reporter) {}

// The overlays of the fleet view may have expired if the process was suspended or its peers have stopped
// sending. The Scheduler must get the resulting changes before it handles the next event.
void ActionExecutor::before_event() {
  if (!nodes_.overlay_expired())
    return;
  const EndpointListUpdate update = refresh_overlays();
  if (!update.endpoints.empty())
    decide(update);
}

void ActionExecutor::handle_event(const Event& event) {
  const auto mark_request = [&](const auto& alternative) {
    if constexpr (requires { alternative.id; })
      requests_.mark_for_cleanup(alternative.id);
  };
  std::visit(mark_request, event);
  decide(event);
}

void ActionExecutor::decide(const Event& event) {
  std::vector<Action> actions;
  scheduler_.handle(context_.now(), event, actions);
  for (const Action& action : actions)
    std::visit([&](const auto& alternative) { execute(alternative); }, action);
}

// Releases what interrupted prefills may have left at nodes, and destroys requests that have finished.
void ActionExecutor::after_last_event() {
  for (const RequestId id : requests_.take_cleanup_candidates()) {
    RequestState* request = requests_.find(id);
    if (!request || request->attempt)
      continue;
    if (!request->orphaned_reservations.empty())
      releaser_.release_orphaned(*request);
    if (request->client)
      continue;
    if (request->call_closed_at)
      client_ids_.release_after_close(request->prompt.id, *request->call_closed_at);
    else
      client_ids_.release(request->prompt.id);
    requests_.erase(id);
  }
}

EndpointListUpdate ActionExecutor::refresh_overlays() {
  EndpointListUpdate update = nodes_.refresh_overlays();
  if (!update.endpoints.empty())
    attempts_.limit_starts_at_draining_nodes();
  return update;
}

void ActionExecutor::execute(const Send& send) {
  attempts_.start(send);
}

void ActionExecutor::execute(const RejectRequest& reject) {
  RequestState* request = requests_.find(reject.id);
  if (!request || !request->client)
    return;
  // A rejection tells the client that a retry is safe, which is not true once this request may have run.
  if (request->not_idempotent && request->may_have_run)
    return execute(FailRequest{reject.id});
  Client& client = *request->client;
  requests_.close_client(*request);
  ++request->counts->rejected;
  logging::debug() << "request rejected: request=" << request->prompt.id
                   << " attempts=" << request->attempt_count;
  reporter_.record_rejected();
  requests_.mark_for_cleanup(reject.id);
  client.reject(reject.retry_after);
}

void ActionExecutor::execute(const FailRequest& fail) {
  RequestState* request = requests_.find(fail.id);
  if (!request || !request->client)
    return;
  Client& client = *request->client;
  requests_.close_client(*request);
  ++request->counts->failed;
  logging::debug() << "request failed: request=" << request->prompt.id
                   << " attempts=" << request->attempt_count;
  requests_.mark_for_cleanup(fail.id);
  const bool timed_out = context_.now() >= request->deadline;
  client.fail(timed_out ? FailureReason::timed_out : FailureReason::not_retried);
}

void ActionExecutor::execute(const CancelAttempt& cancel) {
  attempts_.cancel(cancel);
}

void ActionExecutor::execute(const StartTimer& timer) {
  context_.timers.add(context_.now() + timer.delay,
                      [this, timer_id = timer.timer_id] { events_.enqueue(TimerFired{timer_id}); });
}

void ActionExecutor::execute(const Probe& probe) {
  const Node* node = nodes_.find(probe.endpoint);
  if (!node)
    return;
  const std::uint64_t number = next_probe_++;
  const Micros sent_at = context_.now();
  const auto on_result = [this, number, sent_at, endpoint = probe.endpoint](const AttemptResult& result) {
    probes_.erase(number);
    events_.enqueue(HealthResult{endpoint, result.outcome, context_.now() - sent_at,
                                 parse_load_report(result.load_report, context_.settings.report_columns)});
  };
  auto call = context_.transport.probe(*node, on_result);
  probes_[number] = std::move(call);
}

void ActionExecutor::execute(const CloseIdleConnections& close) {
  if (const Node* node = nodes_.find(close.endpoint))
    context_.transport.close_idle_connections(*node);
}

void ActionExecutor::execute(const Log& log) {
  logging::info() << "module: " << log.line;
}

void ActionExecutor::execute(const ReleaseReservation& release) {
  if (RequestState* request = requests_.find(release.id))
    releaser_.release_reservation(*request);
}

}  // namespace lemonroute
