// The event loop of the process, and timers on it.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "net/memory_budget.h"
#include "net/reserve.h"
#include "net/tally.h"

namespace lemonroute::net {

using Micros = std::chrono::microseconds;

timeval to_timeval(Micros span);

struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const { return base_.get(); }
  Tally& tally() { return tally_; }
  Reserve& reserve() { return *reserve_; }
  /// The bound on what the process holds for its clients, of all fronts.
  MemoryBudget& memory() { return *memory_; }
  void run();
  void run_once();  // waits for one round of events and handles it
  void stop();

  // Runs `job` once the callback that is being handled has returned. Objects that may be on the call stack
  // are destroyed this way: a connection must outlive the handler that decides to drop it.
  void defer(std::function<void()> job);
  template <class T>
  void dispose(std::unique_ptr<T> object) {
    defer([held = std::shared_ptr<T>(std::move(object))] {});
  }

 private:
  struct BaseFree {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  void run_deferred();
  const std::shared_ptr<MemoryBudget> memory_ = std::make_shared<MemoryBudget>();
  std::unique_ptr<event_base, BaseFree> base_;
  EventPtr deferred_event_;
  std::vector<std::function<void()>> deferred_;
  Tally tally_;
  std::unique_ptr<Reserve> reserve_;
};

class Timer {
 public:
  Timer(Loop& loop, std::function<void()> due);
  void start(Micros after);  // once; starting again moves it
  void stop();
  bool pending() const;

 private:
  std::function<void()> due_;
  EventPtr event_;
};

// Calls back on a signal of the process.
class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> raised);

 private:
  std::function<void()> raised_;
  EventPtr event_;
};

}  // namespace lemonroute::net
