#include <utility>

#include "core/router/parts.h"

namespace lemonroute {

// Calls come back into the core from whatever it calls. What they bring waits here in order, so that the
// Scheduler sees one event at a time.
void Router::enqueue(Event event) {
  events_.push_back(std::move(event));
  dispatch_events();
}

void Router::dispatch_events() {
  if (dispatching_)
    return;
  dispatching_ = true;
  while (!events_.empty()) {
    // Guards against a process that was frozen, or whose peers fell silent: a right that has run out is
    // noticed before anything is decided by it.
    if (clock_.now() >= overlay_expires_at_)
      if (EndpointListUpdate list = refresh_overlays(); !list.endpoints.empty())
        decide(list);
    const Event event = std::move(events_.front());
    events_.pop_front();
    std::visit(
        [&](const auto& one) {
          if constexpr (requires { one.id; })
            touched_requests_.push_back(one.id);
        },
        event);
    decide(event);
    if (events_.empty())
      erase_finished_requests();
  }
  dispatching_ = false;
  if (on_change)
    on_change();
}

void Router::decide(const Event& event) {
  std::vector<Action> actions;
  scheduler_.handle(clock_.now(), event, actions);
  for (const auto& action : actions)
    std::visit([&](const auto& one) { execute(one); }, action);
}

void Router::run_timers() {
  timers_.run_due(clock_.now());
  if (on_change)
    on_change();
}

// Once all events are handled: frees what a cut read may have left, and forgets requests that are over.
void Router::erase_finished_requests() {
  for (const RequestId id : std::exchange(touched_requests_, {})) {
    RequestState* entry = find(id);
    if (!entry || entry->attempt)
      continue;
    if (!entry->orphaned_reservations.empty())
      release_orphaned(*entry);
    if (entry->client)
      continue;
    requests_by_client_id_.erase(entry->prompt.id);
    requests_.erase(id);
  }
}

}  // namespace lemonroute
