// Attempts that the router has started and the transport has not sent, because a connection is being
// established or its stream limit is reached.
#include <gtest/gtest.h>

#include "base/log.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

// Attempts at these nodes are unsent until the test clears `unsent`.
struct UnsentNodes : TestNodes {
  struct UnsentCall : NoteCall {
    UnsentCall(std::function<void()> on_close, const bool& unsent)
        : NoteCall(std::move(on_close)), unsent_(unsent) {}
    bool not_sent() const override { return unsent_; }
    const bool& unsent_;
  };
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt&, Micros,
                                      AttemptHandler& handler) override {
    begun.push_back({node.id, &handler, true});
    return std::make_unique<UnsentCall>([this, i = begun.size() - 1] { begun[i].open = false; }, unsent);
  }
  bool unsent = true;  // of all attempts in flight
};

struct UnsentAttempt : ::testing::Test {
  UnsentAttempt() { logging::set_level(logging::Level::error); }
  static Settings test_settings() {
    Settings s = settings();
    s.cancellation_allowed = false;
    s.drain_grace = 500ms;
    s.reservation_release_timeout = 1s;
    s.classes[0].idempotency = Idempotency::idempotent_with_key;
    s.classes[0].retry_window = 400ms;
    return s;
  }
  void start(std::vector<std::string> names, Settings with_settings = test_settings()) {
    core.emplace(with_settings, std::vector<std::string>{"a"}, std::vector<std::string>{"r", "w"}, 1, clock,
                 nodes);
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
  void finish_prefill() { finish_attempt(Outcome::prefill_done); }
  void finish_attempt(Outcome outcome, std::uint32_t detail = 0) {
    nodes.begun.back().attempt->on_done({outcome, detail, {}, {}});
  }
  void advance_clock(Micros duration) {
    clock.at += duration;
    core->run_timers();
  }
  std::string attempt_node() const { return core->endpoint_name(nodes.begun.back().host); }

  TestClock clock;
  UnsentNodes nodes;
  TestClient client;
  std::optional<Router> core;
  RequestId id = 0;
};

// The settings forbid cancellation, which does not apply to attempts that no node has received.
TEST_F(UnsentAttempt, IsClosedWhenItsClientDisconnects) {
  start({"r", "w"});
  core->client_disconnected(id);
  EXPECT_FALSE(nodes.begun[0].open);
  EXPECT_TRUE(nodes.released.empty());  // no node can hold a reservation for it
  EXPECT_TRUE(core->idle());
}

TEST_F(UnsentAttempt, IsClosedAtADecodeNodeWhenItsClientDisconnects) {
  start({"r", "w"});
  finish_prefill();
  core->client_disconnected(id);
  EXPECT_EQ(nodes.begun.size(), 2u);
  EXPECT_FALSE(nodes.begun[1].open);
  EXPECT_EQ(nodes.released.size(), 1u);
}

TEST_F(UnsentAttempt, SentAttemptContinuesAfterADisconnectUntilItsStreamBegins) {
  start({"r", "w"});
  finish_prefill();
  nodes.unsent = false;
  core->client_disconnected(id);
  EXPECT_TRUE(nodes.begun[1].open);
  nodes.begun[1].attempt->on_data("a");
  EXPECT_TRUE(nodes.begun[1].open);  // a call is not closed within its own on_data
  core->run_timers();
  EXPECT_FALSE(nodes.begun[1].open);
  EXPECT_TRUE(core->idle());
  EXPECT_EQ(client.seen, "");
}

TEST_F(UnsentAttempt, IsClosedWithinTheGraceAfterItsNodeLeaves) {
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    nodes = {};
    start({"r", "r2", "w"});
    const std::string first = attempt_node();
    core->update_endpoints(EndpointListKind::incremental, 2, {Bed::node(first, state)});
    advance_clock(249ms);
    EXPECT_EQ(nodes.begun.size(), 1u);
    advance_clock(1ms);
    EXPECT_FALSE(nodes.begun[0].open);
    ASSERT_EQ(nodes.begun.size(), 2u);
    EXPECT_NE(attempt_node(), first);
    EXPECT_EQ(client.answers, 0);
    core.reset();
  }
  // An attempt that was sent by then continues.
  nodes = {};
  start({"r", "r2", "w"});
  core->update_endpoints(EndpointListKind::incremental, 2,
                         {Bed::node(attempt_node(), EndpointState::draining)});
  nodes.unsent = false;
  advance_clock(400ms);
  EXPECT_TRUE(nodes.begun[0].open);
  EXPECT_EQ(nodes.begun.size(), 1u);
}

TEST_F(UnsentAttempt, IsClosedAfterAnOperatorDrainsItsNode) {
  start({"r", "r2", "w"});
  const std::string first = attempt_node();
  ASSERT_EQ(core->drain_node(first), Router::OverrideResult::applied);
  advance_clock(250ms);
  EXPECT_FALSE(nodes.begun[0].open);
  EXPECT_NE(attempt_node(), first);
}

TEST_F(UnsentAttempt, RetryIsClosedWhenTheRetryWindowEnds) {
  start({"r", "w", "w2"});
  finish_prefill();
  advance_clock(10ms);
  finish_attempt(Outcome::error);  // the attempt may have run; it was sent 10 ms ago
  ASSERT_EQ(nodes.begun.size(), 3u);
  advance_clock(389ms);
  EXPECT_TRUE(nodes.begun[2].open);
  advance_clock(1ms);
  EXPECT_FALSE(nodes.begun[2].open);
  EXPECT_EQ(nodes.begun.size(), 3u);
  EXPECT_EQ(client.answers, 1);  // without a delay
}

// The retry window does not limit a first attempt or a retry that was sent.
TEST_F(UnsentAttempt, RetryWindowDoesNotLimitFirstAttempts) {
  start({"r", "w", "w2"});
  finish_prefill();
  advance_clock(450ms);
  EXPECT_TRUE(nodes.begun[1].open);
  finish_attempt(Outcome::error);
  ASSERT_EQ(client.answers, 1);  // the failure came 450 ms after the attempt was sent, outside of the window
}

// The reservation is released within its timeout, and the prefill is repeated.
TEST_F(UnsentAttempt, ReservationIsReleasedWhenTheDecodeAttemptStaysUnsent) {
  start({"r", "w", "w2"});
  finish_prefill();
  advance_clock(499ms);
  EXPECT_TRUE(nodes.begun[1].open);
  EXPECT_TRUE(nodes.released.empty());
  advance_clock(1ms);
  EXPECT_FALSE(nodes.begun[1].open);
  ASSERT_EQ(nodes.released.size(), 1u);
  EXPECT_EQ(nodes.released[0].first, nodes.begun[0].host);
  ASSERT_EQ(nodes.begun.size(), 3u);
  EXPECT_EQ(attempt_node(), "r");
  EXPECT_EQ(client.answers, 0);
}

// A reservation that an interrupted prefill may have left is released while the next attempt is unsent. Only
// one attempt is closed for it.
TEST_F(UnsentAttempt, ReservationOfAnInterruptedPrefillIsReleasedWhileTheNextAttemptIsUnsent) {
  start({"r", "r2", "r3", "w"});
  const EndpointId first = nodes.begun[0].host;
  finish_attempt(Outcome::reset);
  ASSERT_EQ(nodes.begun.size(), 2u);
  advance_clock(500ms);
  ASSERT_EQ(nodes.released.size(), 1u);
  EXPECT_EQ(nodes.released[0].first, first);
  ASSERT_EQ(nodes.begun.size(), 3u);
  // No release call is answered: the next node is called during an attempt, since that is unsent too.
  advance_clock(250ms);
  advance_clock(60ms);
  EXPECT_EQ(nodes.released.size(), 2u);
  EXPECT_TRUE(nodes.begun[2].open);
  // An attempt that was written may still never arrive, so release calls continue.
  nodes.unsent = false;
  advance_clock(250ms);
  advance_clock(60ms);
  EXPECT_EQ(nodes.released.size(), 3u);
  EXPECT_TRUE(nodes.begun[2].open);
  // After the prefill has completed, a release would free the reservation that the decode node needs, so
  // release calls stop for half of the release timeout.
  finish_attempt(Outcome::prefill_done);
  ASSERT_EQ(nodes.begun.size(), 4u);
  for (int i = 0; i < 8; ++i)
    advance_clock(60ms);
  EXPECT_EQ(nodes.released.size(), 3u);
  advance_clock(60ms);
  EXPECT_EQ(nodes.released.size(), 4u);
  EXPECT_TRUE(nodes.begun[3].open);
}

}  // namespace
}  // namespace lemonroute::test
