// A node drains while the watch of the list is disturbed: silent, slow, cut in the middle of a message,
// reset, moved, or not there yet. What is told is had within the time that the operators give for it.
#include <csignal>

#include "crossings/process/bed.h"

namespace lemonroute::crossings {
namespace {

// What the agent gets when discovery returns counts as told at once, and the drain's grace runs from then on.
constexpr std::chrono::milliseconds grace{500};
constexpr std::chrono::seconds told_after_reload{4}, told_after_silence{6};
// Longer than any call for the whole list is waited for before the next one, shorter than its answer may
// take.
constexpr std::chrono::milliseconds slow_answer{400};

struct List : Bed {
  void drain_node() { agent.list("s-1", node.address(), "leaving"); }
  std::string list(std::uint32_t generation, const std::string& lifecycle) {
    Agent other(loop);
    other.generation = generation - 1;
    other.list("s-1", node.address(), lifecycle);
    return other.whole();
  }
  // A request now gets no node.
  void expect_nothing_sent() {
    Socket client = ask("after");
    EXPECT_TRUE(until([&] { return client.has("HTTP/1.1 429"); }));
    EXPECT_FALSE(node.accept().open());
  }
  void expect_sent() {
    Socket client = ask("before");
    Socket at_node = next_at_node();
    at_node.send(stream_head + stream_event("x") + stream_end);
    EXPECT_TRUE(until([&] { return client.has("0\r\n\r\n"); }));
  }
};

TEST_F(List, ASlowFirstListIsHadBeforeAnyRequestIsTaken) {
  agent.delay = slow_answer;
  drain_node();
  start();
  expect_nothing_sent();
}

TEST_F(List, SlowAnswersAreHadInTheEnd) {
  start();
  agent.hang_up();
  agent.delay = slow_answer;
  drain_node();
  EXPECT_TRUE(has_list(told_after_silence));
  expect_nothing_sent();
}

// Two calls for the whole list are out, and the older one's answer is older.
TEST_F(List, OfTwoAnswersTheFirstIsTheList) {
  start();
  expect_sent();
  agent.hold(true);
  agent.hang_up();
  ASSERT_TRUE(until([&] { return agent.waiting().size() >= 2; }));
  const auto calls = agent.waiting();
  calls.back()->answer(list(90, "leaving"));
  calls.front()->answer(list(80, "active"));
  agent.generation = 90;
  EXPECT_TRUE(has_list());
  expect_nothing_sent();
}

TEST_F(List, TheOlderCallsAnswerEndsTheYoungerCall) {
  start();
  expect_sent();
  agent.hold(true);
  agent.hang_up();
  ASSERT_TRUE(until([&] { return agent.waiting().size() >= 2; }));
  const auto calls = agent.waiting();
  calls.front()->answer(list(90, "leaving"));
  agent.generation = 90;
  EXPECT_TRUE(has_list());
  calls.back()->answer(list(80, "active"));
  run(50ms);
  expect_nothing_sent();
}

TEST_F(List, AMessageThatStopsMidwayAndADrain) {
  for (const bool drains_first : {true, false}) {
    SCOPED_TRACE(drains_first);
    agent.list("s-1", node.address(), "active");
    start();
    ASSERT_TRUE(has_list());
    Agent::Visit* const watch = agent.waiting().front();
    watch->wait.stop();
    if (drains_first)
      drain_node();
    watch->wait.stop();
    watch->connection.write("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"generation\":");
    run(20ms);
    watch->target.clear();
    if (!drains_first)
      drain_node();
    EXPECT_TRUE(has_list(told_after_silence));
    expect_nothing_sent();
    program.reset();
  }
}

TEST_F(List, AResetAndADrain) {
  for (const bool drains_first : {true, false}) {
    SCOPED_TRACE(drains_first);
    agent.list("s-1", node.address(), "active");
    start();
    ASSERT_TRUE(has_list());
    agent.hold(true);
    if (drains_first)
      drain_node();
    agent.hang_up();
    run(5ms);
    agent.hold(false);
    if (!drains_first)
      drain_node();
    EXPECT_TRUE(has_list(grace));
    expect_nothing_sent();
    program.reset();
  }
}

// A whole list in answer to a call for changes: what it does not name has gone.
TEST_F(List, AWholeListInsteadOfAChange) {
  start();
  ASSERT_TRUE(has_list());
  agent.waiting().front()->answer(R"({"generation":60,"reset":true,"instances":[]})");
  agent.generation = 60;
  EXPECT_TRUE(has_list());
  expect_nothing_sent();
}

// The watch falls silent without its connection ending.
TEST_F(List, ASilentWatchAndADrain) {
  start();
  ASSERT_TRUE(has_list());
  agent.hold(true);
  const auto silent_from = Wall::now();
  drain_node();
  agent.hold(false);
  EXPECT_TRUE(has_list(told_after_silence));
  EXPECT_LT(Wall::now() - silent_from, told_after_silence);
  expect_nothing_sent();
}

// Discovery is down for a while, as long as several calls take, and calls of that time are never answered.
TEST_F(List, ADrainJustBeforeAndJustAfterTheReturnOfDiscovery) {
  for (const bool before : {true, false}) {
    SCOPED_TRACE(before);
    agent.list("s-1", node.address(), "active");
    start();
    ASSERT_TRUE(has_list());
    agent.hold(true);
    run(1500ms);
    if (before)
      drain_node();
    agent.hold(false);
    if (!before)
      drain_node();
    EXPECT_TRUE(has_list(grace));
    expect_nothing_sent();
    program.reset();
  }
}

// No answer ever came; the request was served from the list that the file knows, as long as nothing else was
// told.
TEST_F(List, ANewProcessWithoutAFirstList) {
  agent.hold(true);
  start();
  expect_sent();
  drain_node();
  agent.hold(false);
  EXPECT_TRUE(has_list(grace));
  expect_nothing_sent();
}

// A process that began with no node at all serves like the others once it is told of one.
TEST_F(List, ANewProcessThatKnowsOfNoNode) {
  agent.hold(true);
  settings = platform("crossing", agent.address(), node.address(), 7500ms);
  settings.known.nodes.clear();
  program = std::make_unique<cli::Program>(loop, settings, config::Operator{}, reload);
  expect_nothing_sent();
  agent.hold(false);
  EXPECT_TRUE(has_list(told_after_silence));
  expect_sent();
}

// The file is broken at SIGHUP: the process serves on, and hears of drains as before.
TEST_F(List, AReloadOfABrokenFileAndADrain) {
  start();
  reload = []() -> config::Platform { throw config::ConfigError("there is no file"); };
  std::raise(SIGHUP);
  run(20ms);
  expect_sent();
  drain_node();
  EXPECT_TRUE(has_list(grace));
  std::raise(SIGHUP);
  run(20ms);
  expect_nothing_sent();
}

// The calls that wait at the old address are given up; what it answers means nothing any more, also while the
// new one is silent.
TEST_F(List, DiscoveryMovesWhileANodeDrains) {
  start();
  ASSERT_TRUE(has_list());
  agent.hold(true);
  agent.hang_up();
  ASSERT_TRUE(until([&] { return agent.waiting().size() >= 2; }));
  const auto old_calls = agent.waiting();
  Agent elsewhere(loop);
  elsewhere.generation = 3;
  elsewhere.list("s-1", node.address(), "leaving");
  elsewhere.hold(true);
  settings.discovery = elsewhere.address();
  std::raise(SIGHUP);
  ASSERT_TRUE(until([&] { return elsewhere.calls >= 1; }, told_after_reload));
  for (Agent::Visit* call : old_calls)
    call->answer(R"({"generation":900,"reset":true,"instances":[]})");
  run(50ms);
  expect_sent();  // the list from before the move is in use
  elsewhere.hold(false);
  const int calls = elsewhere.calls;
  ASSERT_TRUE(until([&] { return elsewhere.calls >= calls + 2; }, told_after_reload));
  expect_nothing_sent();
}

// It drains at the new address only once discovery has moved there.
TEST_F(List, ANodeDrainsAfterDiscoveryMoved) {
  start();
  Agent elsewhere(loop);
  elsewhere.generation = 3;
  elsewhere.list("s-1", node.address(), "active");
  settings.discovery = elsewhere.address();
  std::raise(SIGHUP);
  ASSERT_TRUE(until([&] { return elsewhere.calls >= 2; }, told_after_reload));
  elsewhere.list("s-1", node.address(), "leaving");
  const int calls = elsewhere.calls;
  ASSERT_TRUE(until([&] { return elsewhere.calls > calls; }, grace));
  expect_nothing_sent();
}

}  // namespace
}  // namespace lemonroute::crossings
