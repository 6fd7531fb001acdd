// EventDispatcher and ScopedTimer.
#include "core/router/event_dispatcher.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/router/scoped_timer.h"

namespace lemonroute::test {
namespace {

using namespace std::chrono_literals;

// Records its calls, and enqueues a second event while it handles the first one.
struct RecordingHandler : EventHandler {
  void before_event() override { calls.push_back("before"); }
  void handle_event(const Event& event) override {
    const std::uint32_t timer_id = std::get<TimerFired>(event).timer_id;
    calls.push_back("begin " + std::to_string(timer_id));
    if (timer_id == 1)
      events.enqueue(TimerFired{2});
    calls.push_back("end " + std::to_string(timer_id));
  }
  void after_last_event() override { calls.push_back("last"); }
  std::vector<std::string> calls;
  int change_callbacks = 0;
  EventDispatcher events{*this, [this] { ++change_callbacks; }};
};

TEST(EventDispatcherTest, HandlesAnEventThatWasEnqueuedByAHandlerAfterTheCurrentOne) {
  RecordingHandler handler;
  handler.events.enqueue(TimerFired{1});
  const std::vector<std::string> expected = {"before",  "begin 1", "end 1", "before",
                                             "begin 2", "end 2",   "last"};
  EXPECT_EQ(handler.calls, expected);
  EXPECT_EQ(handler.change_callbacks, 1);
}

TEST(EventDispatcherTest, AppendedEventIsHandledWithTheNextEnqueuedOne) {
  RecordingHandler handler;
  handler.events.enqueue_deferred(TimerFired{3});
  EXPECT_TRUE(handler.calls.empty());
  handler.events.enqueue(TimerFired{4});
  const std::vector<std::string> expected = {"before",  "begin 3", "end 3", "before",
                                             "begin 4", "end 4",   "last"};
  EXPECT_EQ(handler.calls, expected);
}

TEST(ScopedTimerTest, RunsOnlyTheLastJobThatWasSet) {
  Timers timers;
  std::string ran;
  ScopedTimer timer;
  timer.set(timers, 1s, [&] { ran += "first"; });
  timer.set(timers, 2s, [&] { ran += "second"; });
  timers.run_due(3s);
  EXPECT_EQ(ran, "second");
  EXPECT_EQ(timer.due_at(), std::optional<Micros>(2s));
}

TEST(ScopedTimerTest, CancelsItsJobOnDestruction) {
  Timers timers;
  bool ran = false;
  {
    ScopedTimer timer;
    timer.set(timers, 1s, [&] { ran = true; });
  }
  timers.run_due(2s);
  EXPECT_FALSE(ran);
  EXPECT_EQ(timers.next_due(), std::nullopt);
}

}  // namespace
}  // namespace lemonroute::test
