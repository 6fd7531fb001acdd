#include "module/scheduler_core.h"

#include <variant>

namespace lemonroute::decisions {

void SchedulerCore::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  context.begin_event(now, actions);
  pools.invalidate();
  std::visit([this](const auto& alternative) { dispatch(alternative); }, event);
}

void SchedulerCore::dispatch(const EndpointListUpdate& update) {
  nodes.handle(update);
}

void SchedulerCore::dispatch(const Request& request) {
  attempts.handle(request);
}

void SchedulerCore::dispatch(const FirstTokenReceived& event) {
  attempts.handle(event);
}

// The module never reserves capacity ahead of an attempt, so it ignores these updates.
void SchedulerCore::dispatch(const ReservationUpdate& /*update*/) {}

void SchedulerCore::dispatch(const AttemptCompleted& completed) {
  attempts.handle(completed);
}

void SchedulerCore::dispatch(const ClientDisconnected& event) {
  attempts.handle(event);
}

void SchedulerCore::dispatch(const TimerFired& event) {
  if (event.timer_id == NodeRegistry::poll_timer_id)
    nodes.handle_poll_timer();
  else
    attempts.handle(event);
}

void SchedulerCore::dispatch(const HealthResult& result) {
  if (Node* const node = nodes.find(result.endpoint))
    outcomes.record_health_result(*node, result);
}

// Decisions rely on the observations of this router alone: the module neither sends nor reads peer messages.
void SchedulerCore::dispatch(const PeerMessage& /*message*/) {}

// Ignored: the nodes' own counts of cached tokens correct the records, see
// PrefixCacheIndex::verify_cached_tokens.
void SchedulerCore::dispatch(const CacheInvalidated& /*event*/) {}

}  // namespace lemonroute::decisions
