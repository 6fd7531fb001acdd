#include <utility>

#include "core/router/parts.h"

namespace lemonroute {

// Calls come back into the core from whatever it calls. What they bring waits here in order, so that the
// Scheduler sees one event at a time.
void Router::put(Event event) {
  events_.push_back(std::move(event));
  pump();
}

void Router::pump() {
  if (pumping_)
    return;
  pumping_ = true;
  while (!events_.empty()) {
    // Guards against a process that was frozen, or whose peers fell silent: a right that has run out is
    // noticed before anything is decided by it.
    if (clock_.now() >= laid_until_)
      if (HostList list = laid_again(); !list.hosts.empty())
        decide(list);
    const Event event = std::move(events_.front());
    events_.pop_front();
    std::visit(
        [&](const auto& one) {
          if constexpr (requires { one.id; })
            touched_.push_back(one.id);
        },
        event);
    decide(event);
    if (events_.empty())
      settle();
  }
  pumping_ = false;
  if (on_change)
    on_change();
}

void Router::decide(const Event& event) {
  std::vector<Action> actions;
  scheduler_.handle(clock_.now(), event, actions);
  for (const auto& action : actions)
    std::visit([&](const auto& one) { act(one); }, action);
}

void Router::run_due() {
  timers_.run(clock_.now());
  if (on_change)
    on_change();
}

// Once all events are handled: frees what a cut read may have left, and forgets requests that are over.
void Router::settle() {
  for (const RequestId id : std::exchange(touched_, {})) {
    RequestState* entry = find(id);
    if (!entry || entry->out)
      continue;
    if (!entry->leftovers.empty())
      let_go_leftovers(*entry);
    if (entry->client)
      continue;
    by_name_.erase(entry->prompt.id);
    requests_.erase(id);
  }
}

}  // namespace lemonroute
