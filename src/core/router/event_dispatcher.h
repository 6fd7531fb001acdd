/// \file
/// The queue of events for the Scheduler. Used on the serving thread only.
#pragma once

#include <deque>
#include <functional>

#include "lemonroute/scheduler.h"

namespace lemonroute {

/// Handles the events that an EventDispatcher delivers.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  /// Called before each event.
  virtual void before_event() = 0;
  /// Handles one event. May queue more events.
  virtual void handle_event(const Event& event) = 0;
  /// Called whenever the queue has become empty.
  virtual void after_last_event() = 0;
};

/// Delivers events one at a time in the order of their arrival. An event that arrives while another one is
/// handled, for example from a callback, waits in the queue.
class EventDispatcher {
 public:
  /// `handler` must outlive this object. `notify_change` is called each time all queued events are delivered.
  EventDispatcher(EventHandler& handler, std::function<void()> notify_change);

  /// Queues an event and delivers all queued events, unless a delivery is in progress, which then includes
  /// it.
  void enqueue(Event event);
  /// Queues an event without starting a delivery. Call it only while a delivery is in progress.
  void enqueue_deferred(Event event);

 private:
  void dispatch_events();

  EventHandler& handler_;
  std::function<void()> notify_change_;
  std::deque<Event> events_;
  bool dispatching_ = false;
};

}  // namespace lemonroute
