// Regression tests for faults of the decision module, each with a short sequence of events.
#include <algorithm>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(OverdueAttempt, IsNotCancelledEarlyWhenExpectedTimeIsTiny) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 6; ++i)
    fixture.serve(fixture.make_request(4000, 0, 77), 20ms, 4000);
  fixture.handle(fixture.make_request(4010, 0, 77));  // ten uncached tokens
  EXPECT_EQ(SchedulerFixture::find_action<CancelAttempt>(fixture.advance_to(fixture.now + 200ms)), nullptr);
}

TEST(OverdueAttempt, PrefillIsCancelledWhenAnotherNodeIsFaster) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 20; ++i)
    fixture.serve(fixture.make_request(4000));
  const Request r = fixture.make_request(4000);
  const EndpointId stuck_node = fixture.sent_to(fixture.handle(r));
  const auto actions = fixture.advance_to(fixture.now + 2s);
  ASSERT_NE(SchedulerFixture::find_action<CancelAttempt>(actions), nullptr);
  const EndpointId next_node =
      fixture.sent_to(fixture.complete_attempt(r.id, 0, stuck_node, Outcome::cancelled, 2s));
  EXPECT_EQ(next_node, 3 - stuck_node);
}

// An evicted prefix makes a prefill many times longer than its estimate at every node, so cancelling the
// attempt would not help.
TEST(OverdueAttempt, PrefillWithEvictedPrefixIsNotCancelledEarly) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.make_request(40000), 1s);  // 25 us per token
  // The router assumes that the shared prefix is cached, but the node finds no cached tokens.
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.make_request(40010, 0, 0, 5, 40000), 1s, 0);
  fixture.advance_to(fixture.now + 100ms);
  fixture.handle(fixture.make_request(40010, 0, 0, 5, 40000));
  const Micros sent_at = fixture.now;
  // The least time before an attempt is overdue, a third of the latency objective, is 0.87 s.
  EXPECT_EQ(SchedulerFixture::find_action<CancelAttempt>(fixture.advance_to(sent_at + 1400ms)), nullptr);
  // The attempt is cancelled at last: the router does not wait without limit.
  EXPECT_NE(SchedulerFixture::find_action<CancelAttempt>(fixture.advance_to(sent_at + 4s)), nullptr);
}

TEST(OverdueAttempt, NonIdempotentDecodeIsNotCancelled) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 20; ++i)
    fixture.serve(fixture.make_request(4000));
  const Request r = fixture.make_request(4000, not_idempotent_class);
  fixture.handle(r);
  ASSERT_NE(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 0u);
  EXPECT_EQ(SchedulerFixture::find_action<CancelAttempt>(fixture.advance_to(fixture.now + 5s)), nullptr);
}

TEST(OutlierEjection, AvoidsFastFailingNodeThenTriesItAgain) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 30; ++i)
    fixture.serve(fixture.make_request(4000));
  int failures = 0;
  const auto handle_one_request = [&] {
    const Request r = fixture.make_request(4000);
    EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    fixture.now += 20ms;
    if (prefill_node != 2) {
      fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done, 100ms);
      fixture.receive_first_token(r.id, 1, 9);
      fixture.complete_attempt(r.id, 1, 9, Outcome::ok, 500ms, 0, true);
      return;
    }
    ++failures;
    prefill_node = fixture.sent_to(fixture.complete_attempt(r.id, 0, 2, Outcome::error, 5ms));
    EXPECT_NE(prefill_node, 2u);
    fixture.handle(ClientDisconnected{r.id});
  };
  for (int i = 0; i < 60; ++i)
    handle_one_request();
  EXPECT_GE(failures, 1);
  EXPECT_LE(failures, 3) << "a node that fails at once looks idle and must not attract requests";
  fixture.now += 30s;
  int sent_after_ejection = 0;
  for (int i = 0; i < 9; ++i)  // at the same time, so that queues build up
    sent_after_ejection += fixture.sent_to(fixture.handle(fixture.make_request(4000))) == 2;
  EXPECT_GT(sent_after_ejection, 0) << "without health checks the ejection must end by itself";
}

TEST(OutlierEjection, EjectsNoNodeWhenWholePoolFails) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 40; ++i) {
    const Request r = fixture.make_request(4000);
    EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    ASSERT_NE(prefill_node, 0u) << i;
    for (std::uint16_t attempt = 0; prefill_node; ++attempt)
      prefill_node =
          fixture.sent_to(fixture.complete_attempt(r.id, attempt, prefill_node, Outcome::error, 5ms));
    fixture.now += 50ms;
  }
}

TEST(AttemptLimit, KeepsOneAttemptForDecode) {
  Settings s = settings();
  s.max_attempts = 2;
  SchedulerFixture fixture(s);
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
  const auto actions = fixture.complete_attempt(r.id, 0, prefill_node, Outcome::error);
  EXPECT_EQ(fixture.sent_to(actions), 0u) << "a second prefill would leave no attempt for the decode";
  EXPECT_NE(SchedulerFixture::find_action<RejectRequest>(actions), nullptr);
}

TEST(PrefixCacheRecords, AreDroppedWhenPrefillsFindFarLessCached) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (Key session = 1; session <= 8; ++session)
    fixture.serve(fixture.make_request(4000, 0, session), 100ms, 0);
  fixture.now += 3s;
  for (Key session = 1; session <= 8; ++session)
    fixture.serve(fixture.make_request(4100, 0, session), 100ms, 0);  // the node has evicted every prefix
  EXPECT_TRUE(std::any_of(fixture.log_lines.begin(), fixture.log_lines.end(), [](const auto& line) {
    return line.starts_with("prefix cache records dropped: id=");
  }));
}

TEST(LostKvCache, RequestIsPrefilledAgain) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
  fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done);
  const auto actions =
      fixture.complete_attempt(r.id, 1, 9, Outcome::rejected_over_capacity, 5ms, reservation_lost);
  const EndpointId next_node = fixture.sent_to(actions);
  EXPECT_TRUE(next_node == 1 || next_node == 2)
      << "the request must be prefilled again, not sent to a decode node";
}

TEST(ReportedQueue, CountsOnlyUncachedShareOfTokens) {
  // Nodes report the tokens of whole prompts. Cached tokens take no prefill time, so only the rest counts.
  Settings s = settings();
  s.report_columns = {"x1"};
  s.report_x1_is_queued_tokens = true;
  s.router_count = 2;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const auto serve = [&](float queued_kilotokens) {
    const Request r = fixture.make_request(8000, 0, 5);
    const auto actions = fixture.handle(r);
    if (!fixture.sent_to(actions))
      return false;
    fixture.now += 30ms;
    fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done, 30ms, 7800, false, {queued_kilotokens});
    fixture.receive_first_token(r.id, 1, 9);
    fixture.complete_attempt(r.id, 1, 9, Outcome::ok, 300ms, 0, true);
    return true;
  };
  for (int i = 0; i < 60; ++i)
    ASSERT_TRUE(serve(0));
  ASSERT_TRUE(serve(40));
  EXPECT_TRUE(serve(40)) << "40,000 reported tokens are 1,000 uncached tokens";
}

TEST(UnreachableNode, DoesNotAttractRequests) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 10; ++i)
    fixture.serve(fixture.make_request(4000));
  int failed_connections = 0;
  for (int i = 0; i < 60; ++i) {  // prefills at the other nodes do not end, so their queues grow
    const Request r = fixture.make_request(1000);
    const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    fixture.now += 5ms;
    if (prefill_node != 3)
      continue;
    ++failed_connections;
    fixture.complete_attempt(r.id, 0, 3, Outcome::connect_failed, 1ms);
  }
  EXPECT_LE(failed_connections, 2);
}

TEST(MixedNode, PrefillsWhenIdleAndPrefillNodeHasQueue) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(5, mixed_kind), make_endpoint(9, decode_kind)});
  fixture.serve(fixture.make_request(4000), 300ms);
  std::vector<EndpointId> chosen_nodes;
  for (int i = 0; i < 6; ++i)
    chosen_nodes.push_back(fixture.sent_to(fixture.handle(fixture.make_request(4000))));
  EXPECT_NE(std::count(chosen_nodes.begin(), chosen_nodes.end(), 5u), 0);
}

TEST(MixedNode, SpendsOnlyPartOfItsTimeOnPrefills) {
  // Prefills that end at once leave no queue. Without a limit on prefill time, the streams of a mixed node
  // would still make no progress.
  Settings s = settings();
  s.router_count = 3;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(5, mixed_kind), make_endpoint(6, mixed_kind)});
  int sent_requests = 0;
  for (int i = 0; i < 40; ++i) {
    const Request r = fixture.make_request(4000);
    const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    fixture.now += 50ms;
    if (!prefill_node)
      continue;
    ++sent_requests;
    fixture.receive_first_token(r.id, 0, prefill_node, 300ms);
    fixture.complete_attempt(r.id, 0, prefill_node, Outcome::ok, 350ms, 0, true);
  }
  EXPECT_GT(sent_requests, 3);
  EXPECT_LT(sent_requests, 25) << "two nodes have two seconds, and three routers send prefills of 300 ms";
}

TEST(DecodeLoadReport, CountsQueuedPromptsAsMemoryInUse) {
  Settings s = settings();
  s.report_columns = {"x0", "x1"};
  s.report_x0_is_memory = s.report_x1_is_queued_tokens = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
  fixture.handle(HealthResult{8, Outcome::ok, 1ms, {0.5f, 90.f}});
  fixture.handle(HealthResult{9, Outcome::ok, 1ms, {0.7f, 0.f}});
  const Request r = fixture.make_request(4000);
  fixture.handle(r);
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 9u)
      << "node 8 uses less memory but has queued prompts";
}

TEST(PopularPrefix, SpreadsOverAsManyNodesAsItsRequestsHalfFill) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(4, prefill_kind),
                            make_endpoint(9, decode_kind)});
  std::vector<EndpointId> rare_prefix_nodes, popular_prefix_nodes;
  for (Key session = 1; session <= 40; ++session) {  // each with one of forty shared prefixes
    rare_prefix_nodes.push_back(
        fixture.serve(fixture.make_request(3500, 0, 1000 + session, 100 + session % 40, 3000), 50ms, 0));
  }
  for (Key session = 1; session <= 40; ++session)
    popular_prefix_nodes.push_back(
        fixture.serve(fixture.make_request(3500, 0, session, 7, 3000), 20ms, 2900));
  std::vector<EndpointId> latest_nodes(popular_prefix_nodes.end() - 20, popular_prefix_nodes.end());
  std::sort(latest_nodes.begin(), latest_nodes.end());
  latest_nodes.erase(std::unique(latest_nodes.begin(), latest_nodes.end()), latest_nodes.end());
  EXPECT_EQ(latest_nodes.size(), 4u)
      << "requests with the prefix are half of all and would half fill the four prefill nodes";
}

// The choice of a node once counted a prompt shorter than the mean of its class as less work than the send
// did. A node in slow start was then chosen but not permitted, and the request was rejected although a warm
// node was idle.
TEST(NodeInSlowStart, RequestBeyondItsBudgetGoesToWarmNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 20; ++i) {
    fixture.serve(fixture.make_request(4000), 160ms);
    fixture.now += 100ms;
  }
  auto new_node = make_endpoint(2, prefill_kind);
  new_node.started_at = fixture.now - 1s;
  fixture.update_endpoints({new_node}, EndpointListKind::incremental);
  int sent_to_warm_node = 0;
  for (int i = 0; i < 24; ++i) {  // the new node is the affinity node of some
    const Request r = fixture.make_request(500);
    const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    ASSERT_NE(prefill_node, 0u) << "request " << i << " was rejected";
    sent_to_warm_node += prefill_node == 1;
    fixture.now += 20ms;
    const EndpointId decode_node =
        fixture.sent_to(fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done, 20ms));
    fixture.receive_first_token(r.id, 1, decode_node);
    fixture.complete_attempt(r.id, 1, decode_node, Outcome::ok, 60ms, 0, true);
    fixture.now += 5ms;
  }
  EXPECT_GE(sent_to_warm_node, 12);
}

// A node that has most of the prompt cached keeps the lowest score when it stops responding. Unless it is
// excluded after its attempt was cancelled as overdue, the request is sent there again until the deadline.
TEST(CancelledPrefill, IsRepeatedAtAnotherNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  Request earlier_turn = fixture.make_request(4000, 0, 77);
  EndpointId cache_node = 0;
  for (int i = 0; i < 3; ++i) {
    earlier_turn.id = fixture.next_id++;
    cache_node = fixture.serve(earlier_turn, 160ms);
    fixture.now += 1s;
  }
  const Request r = fixture.make_request(4400, 0, 77);
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), cache_node);
  const auto timer_actions = fixture.advance_to(fixture.now + 2s);
  ASSERT_NE(SchedulerFixture::find_action<CancelAttempt>(timer_actions), nullptr);
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, cache_node, Outcome::cancelled, 2s)),
            3 - cache_node);
}

TEST(CancelledPrefill, IsRepeatedAtTheOnlyPrefillNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request(4000, 0);
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), 1u);
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::cancelled, 1s)), 1u);
}

}  // namespace
}  // namespace lemonroute::test
