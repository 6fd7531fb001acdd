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
  /// Comes before each event.
  virtual void before_event() = 0;
  /// Handles one event. May queue further ones.
  virtual void handle_event(const Event& event) = 0;
  /// Comes whenever the queue has become empty.
  virtual void after_last_event() = 0;
};

/// Delivers events one at a time and in the order of their arrival. Whatever the core calls may call back
/// into it, so an event may arrive while another one is handled; it waits in the queue.
class EventDispatcher {
 public:
  /// `handler` outlives this object. `notify_change` is called after each delivery of queued events.
  EventDispatcher(EventHandler& handler, std::function<void()> notify_change);

  /// Queues an event and delivers all queued ones, unless a delivery is under way, which includes it.
  void enqueue(Event event);
  /// Queues an event without a delivery. Only for use while one is under way.
  void append(Event event);

 private:
  void dispatch_events();

  EventHandler& handler_;
  std::function<void()> notify_change_;
  std::deque<Event> events_;
  bool dispatching_ = false;
};

}  // namespace lemonroute
