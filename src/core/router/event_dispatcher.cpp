#include "core/router/event_dispatcher.h"

#include <utility>

namespace lemonroute {

EventDispatcher::EventDispatcher(EventHandler& handler, std::function<void()> notify_change)
    : handler_(handler), notify_change_(std::move(notify_change)) {}

void EventDispatcher::enqueue(Event event) {
  enqueue_deferred(std::move(event));
  dispatch_events();
}

void EventDispatcher::enqueue_deferred(Event event) {
  events_.push_back(std::move(event));
}

void EventDispatcher::dispatch_events() {
  if (dispatching_)
    return;
  dispatching_ = true;
  while (!events_.empty()) {
    handler_.before_event();
    const Event event = std::move(events_.front());
    events_.pop_front();
    handler_.handle_event(event);
    if (events_.empty())
      handler_.after_last_event();
  }
  dispatching_ = false;
  notify_change_();
}

}  // namespace lemonroute
