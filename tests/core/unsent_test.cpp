// Attempts that have begun in the core and not on the wire, since a connection is coming up or a place on one
// is awaited.
#include <gtest/gtest.h>

#include "base/log.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

// Their attempts leave when the test says so.
struct SlowNodes : TestNodes {
  struct SlowCall : NoteCall {
    SlowCall(std::function<void()> over, const bool& unsent) : NoteCall(std::move(over)), unsent_(unsent) {}
    bool not_sent() const override { return unsent_; }
    const bool& unsent_;
  };
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt&, Micros,
                                      AttemptHandler& attempt) override {
    begun.push_back({node.id, &attempt, true});
    return std::make_unique<SlowCall>([this, i = begun.size() - 1] { begun[i].open = false; }, unsent);
  }
  bool unsent = true;  // those that are out
};

struct Unsent : ::testing::Test {
  Unsent() { logging::set_level(logging::Level::error); }
  static Settings limits() {
    Settings s = settings();
    s.cancellation_allowed = false;
    s.drain_grace = 500ms;
    s.reservation_release_timeout = 1s;
    s.classes[0].idempotency = Idempotency::idempotent_with_key;
    s.classes[0].retry_window = 400ms;
    return s;
  }
  void start(std::vector<std::string> names, Settings with = limits()) {
    core.emplace(with, std::vector<std::string>{"a"}, std::vector<std::string>{"r", "w"}, 1, clock, nodes);
    std::vector<Router::ListedNode> list;
    for (const auto& name : names)
      list.push_back(Bed::node(name));
    core->update_endpoints(EndpointListKind::full, 1, list);
    ClientRequest client_request;
    client_request.prompt = {"q", "/", std::make_shared<std::string>("{}")};
    client_request.request_class = "k";
    client_request.prompt_tokens = 100;
    ASSERT_EQ(core->submit(client_request, client, id), Router::SubmitResult::accepted);
  }
  void read() { end(Outcome::prefill_done); }
  void end(Outcome outcome, std::uint32_t note = 0) {
    nodes.begun.back().attempt->on_done({outcome, note, {}, {}});
  }
  void pass(Micros span) {
    clock.at += span;
    core->run_timers();
  }
  std::string at() const { return core->endpoint_name(nodes.begun.back().host); }

  TestClock clock;
  SlowNodes nodes;
  TestClient client;
  std::optional<Router> core;
  RequestId id = 0;
};

// The settings forbid to call off attempts; one of which no node has heard is none.
TEST_F(Unsent, IsLetGoOfWithItsClient) {
  start({"r", "w"});
  core->client_disconnected(id);
  EXPECT_FALSE(nodes.begun[0].open);
  EXPECT_TRUE(nodes.released.empty());  // nothing can be held for it
  EXPECT_TRUE(core->idle());
}

TEST_F(Unsent, IsLetGoOfWithItsClientAtAWriterToo) {
  start({"r", "w"});
  read();
  core->client_disconnected(id);
  EXPECT_EQ(nodes.begun.size(), 2u);
  EXPECT_FALSE(nodes.begun[1].open);
  EXPECT_EQ(nodes.released.size(), 1u);
}

TEST_F(Unsent, ASentOneStaysAndItsStreamEndsAsItBegins) {
  start({"r", "w"});
  read();
  nodes.unsent = false;
  core->client_disconnected(id);
  EXPECT_TRUE(nodes.begun[1].open);
  nodes.begun[1].attempt->on_data("a");
  EXPECT_TRUE(nodes.begun[1].open);  // whoever tells of an event is not let go of while it does
  core->run_timers();
  EXPECT_FALSE(nodes.begun[1].open);
  EXPECT_TRUE(core->idle());
  EXPECT_EQ(client.seen, "");
}

TEST_F(Unsent, DoesNotBeginLongAfterItsNodeLeaves) {
  for (const EndpointState phase : {EndpointState::draining, EndpointState::removed}) {
    nodes = {};
    start({"r", "r2", "w"});
    const std::string first = at();
    core->update_endpoints(EndpointListKind::incremental, 2, {Bed::node(first, phase)});
    pass(249ms);
    EXPECT_EQ(nodes.begun.size(), 1u);
    pass(1ms);
    EXPECT_FALSE(nodes.begun[0].open);
    ASSERT_EQ(nodes.begun.size(), 2u);
    EXPECT_NE(at(), first);
    EXPECT_EQ(client.answers, 0);
    core.reset();
  }
  // One that has left by then goes on.
  nodes = {};
  start({"r", "r2", "w"});
  core->update_endpoints(EndpointListKind::incremental, 2, {Bed::node(at(), EndpointState::draining)});
  nodes.unsent = false;
  pass(400ms);
  EXPECT_TRUE(nodes.begun[0].open);
  EXPECT_EQ(nodes.begun.size(), 1u);
}

TEST_F(Unsent, DoesNotBeginAtANodeThatIsOutByHand) {
  start({"r", "r2", "w"});
  const std::string first = at();
  ASSERT_EQ(core->drain_node(first), Router::OverrideResult::applied);
  pass(250ms);
  EXPECT_FALSE(nodes.begun[0].open);
  EXPECT_NE(at(), first);
}

TEST_F(Unsent, ARepeatDoesNotBeginAfterTheWindowOfItsClass) {
  start({"r", "w", "w2"});
  read();
  pass(10ms);
  end(Outcome::error);  // it may have run, and was sent 10 ms ago
  ASSERT_EQ(nodes.begun.size(), 3u);
  pass(389ms);
  EXPECT_TRUE(nodes.begun[2].open);
  pass(1ms);
  EXPECT_FALSE(nodes.begun[2].open);
  EXPECT_EQ(nodes.begun.size(), 3u);
  EXPECT_EQ(client.answers, 1);  // at once
}

// A first attempt has no window, and a repeat that has left has its time.
TEST_F(Unsent, OnlyRepeatsHaveAWindow) {
  start({"r", "w", "w2"});
  read();
  pass(450ms);
  EXPECT_TRUE(nodes.begun[1].open);
  end(Outcome::error);
  ASSERT_EQ(client.answers, 1);  // 450 ms after it was sent
}

// The state goes before its time is over, and the prompt is read again.
TEST_F(Unsent, AStateIsNotHeldForAnAttemptThatDoesNotBegin) {
  start({"r", "w", "w2"});
  read();
  pass(499ms);
  EXPECT_TRUE(nodes.begun[1].open);
  EXPECT_TRUE(nodes.released.empty());
  pass(1ms);
  EXPECT_FALSE(nodes.begun[1].open);
  ASSERT_EQ(nodes.released.size(), 1u);
  EXPECT_EQ(nodes.released[0].first, nodes.begun[0].host);
  ASSERT_EQ(nodes.begun.size(), 3u);
  EXPECT_EQ(at(), "r");
  EXPECT_EQ(client.answers, 0);
}

// What a cut read may have left is let go of while the next attempt has not begun, and that costs one attempt
// only.
TEST_F(Unsent, WhatACutReadLeftIsNotHeldForAnAttemptThatDoesNotBegin) {
  start({"r", "r2", "r3", "w"});
  const EndpointId first = nodes.begun[0].host;
  end(Outcome::reset);
  ASSERT_EQ(nodes.begun.size(), 2u);
  pass(500ms);
  ASSERT_EQ(nodes.released.size(), 1u);
  EXPECT_EQ(nodes.released[0].first, first);
  ASSERT_EQ(nodes.begun.size(), 3u);
  // Nobody answers: the next one is asked though an attempt is out, since that has not begun either.
  pass(250ms);
  pass(60ms);
  EXPECT_EQ(nodes.released.size(), 2u);
  EXPECT_TRUE(nodes.begun[2].open);
  // Once it was written it may still never arrive, so the release goes on.
  nodes.unsent = false;
  pass(250ms);
  pass(60ms);
  EXPECT_EQ(nodes.released.size(), 3u);
  EXPECT_TRUE(nodes.begun[2].open);
  // Once it has ended well, a release would take its state away from the decode, for half of the settings'
  // time.
  end(Outcome::prefill_done);
  ASSERT_EQ(nodes.begun.size(), 4u);
  for (int i = 0; i < 8; ++i)
    pass(60ms);
  EXPECT_EQ(nodes.released.size(), 3u);
  pass(60ms);
  EXPECT_EQ(nodes.released.size(), 4u);
  EXPECT_TRUE(nodes.begun[3].open);
}

}  // namespace
}  // namespace lemonroute::test
