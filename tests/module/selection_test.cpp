// Choice of prefill and decode nodes, and load shedding before the prefill.
#include <algorithm>
#include <set>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(PrefillNodeChoice, PrefersNodeThatHasSessionCached) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  const EndpointId first_node = fixture.serve(fixture.make_request(4000, 0, 77));
  for (int turn = 0; turn < 5; ++turn)
    EXPECT_EQ(fixture.serve(fixture.make_request(4500, 0, 77), 20ms, 4000), first_node);
}

TEST(PrefillNodeChoice, SendsSessionsWithSharedPrefixToFewNodes) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(4, prefill_kind),
                            make_endpoint(9, decode_kind)});
  std::set<EndpointId> chosen_nodes;
  for (Key session = 100; session < 112; ++session) {
    for (Key other = 0; other < 4; ++other)
      fixture.serve(fixture.make_request(3500, 0, 1000 + 10 * session + other, 50 + other, 3000), 60ms, 0);
    chosen_nodes.insert(fixture.serve(fixture.make_request(3500, 0, session, 5, 3000), 60ms, 0));
  }
  EXPECT_LE(chosen_nodes.size(), 2u)
      << "without queues, one of five shared prefixes does not fill a prefill node";
}

TEST(PrefillNodeChoice, RoutersAgreeOnNodeForUnseenPrefix) {
  SchedulerFixture router_a(settings(), 1), router_b(settings(), 99);
  for (SchedulerFixture* fixture : {&router_a, &router_b})
    fixture->update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                               make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  for (Key key = 1; key < 30; ++key) {
    const Request request_a = router_a.make_request(4000, 0, key * 31, key, 3000),
                  request_b = router_b.make_request(4000, 0, key * 31, key, 3000);
    EXPECT_EQ(router_a.serve(request_a), router_b.serve(request_b));
  }
}

// Serves 60 sessions and returns those that were prefilled at the node.
std::vector<Key> sessions_cached_at(SchedulerFixture& fixture, EndpointId node) {
  std::vector<Key> sessions;
  for (Key session = 1; session <= 60; ++session)
    if (fixture.serve(fixture.make_request(1000, 0, session), 50ms) == node)
      sessions.push_back(session);
  return sessions;
}

TEST(PrefillNodeChoice, AvoidsLongQueueEvenWhereSessionIsCached) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const EndpointId cache_node = fixture.serve(fixture.make_request(1000), 50ms);
  std::vector<EndpointId> chosen_nodes;
  for (const Key session : sessions_cached_at(fixture, cache_node))
    chosen_nodes.push_back(fixture.sent_to(fixture.handle(fixture.make_request(2500, 0, session))));
  ASSERT_GT(chosen_nodes.size(), 8u);
  EXPECT_EQ(chosen_nodes.front(), cache_node);
  EXPECT_NE(std::count(chosen_nodes.begin(), chosen_nodes.end(), 3 - cache_node), 0)
      << "no request left the node that has its session cached";
}

TEST(PrefillNodeChoice, KeepsSessionAtNodeThatTookItOver) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const EndpointId cache_node = fixture.serve(fixture.make_request(1000), 50ms);
  for (const Key session : sessions_cached_at(fixture, cache_node)) {
    const Request r = fixture.make_request(2500, 0, session);
    if (fixture.sent_to(fixture.handle(r)) == cache_node)
      continue;
    // The other node has the session cached now, so the next turn goes there instead of to the queue.
    fixture.complete_attempt(r.id, 0, 3 - cache_node, Outcome::prefill_done, 100ms);
    EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.make_request(2600, 0, session))), 3 - cache_node);
    return;
  }
  FAIL() << "no session was sent to the other node";
}

TEST(PrefillNodeChoice, AvoidsSlowerNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 30; ++i) {
    const Request r = fixture.make_request(4000);
    const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
    fixture.now += 100ms;
    const auto elapsed = prefill_node == 1 ? 900ms : 100ms;
    const EndpointId decode_node =
        fixture.sent_to(fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done, elapsed));
    fixture.receive_first_token(r.id, 1, decode_node);
    fixture.complete_attempt(r.id, 1, decode_node, Outcome::ok, 500ms, 0, true);
  }
  int sent_to_slow_node = 0;
  for (int i = 0; i < 10; ++i)
    sent_to_slow_node += fixture.serve(fixture.make_request(4000)) == 1;
  EXPECT_LE(sent_to_slow_node, 2);
}

TEST(DecodeNodeChoice, PrefersCellOfPrefillNodeAtEqualLoad) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind, 4, 1), make_endpoint(10, decode_kind, 5, 0),
                            make_endpoint(11, decode_kind, 6, 1), make_endpoint(12, decode_kind, 4, 1)});
  const Request r = fixture.make_request();
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), 1u);
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 12u)
      << "the prefill node's cell comes first";
}

TEST(DecodeNodeChoice, PrefersZoneOfPrefillNodeWithoutNodeInItsCell) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind, 4, 1), make_endpoint(10, decode_kind, 5, 0),
                            make_endpoint(11, decode_kind, 6, 1)});
  const Request r = fixture.make_request();
  fixture.handle(r);
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(DecodeNodeChoice, PrefersDistantNodeToLoadedNearNode) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind, 4), make_endpoint(10, decode_kind, 4),
                            make_endpoint(11, decode_kind, 5)});
  Request r = fixture.make_request();
  fixture.handle(r);
  ASSERT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 10u);
  fixture.receive_first_token(r.id, 1, 10);
  fixture.complete_attempt(r.id, 1, 10, Outcome::ok, 500ms, 0, true, {0.8f});
  r = fixture.make_request();
  fixture.handle(r);
  fixture.handle(HealthResult{11, Outcome::ok, 1ms, {0.1f}});
  EXPECT_EQ(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(DecodeNodeChoice, IsMadeOnlyAfterPrefill) {
  Settings s = settings();
  s.reservation_allowed = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const auto actions = fixture.handle(fixture.make_request());
  EXPECT_EQ(fixture.sent_to(actions), 1u);
  EXPECT_EQ(SchedulerFixture::find_action<ReserveCapacity>(actions), nullptr);
}

TEST(LoadShedding, RejectsWithRetryAfterWhenWaitExceedsObjective) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  fixture.serve(fixture.make_request(), 400ms);
  const RejectRequest* rejection = nullptr;
  std::vector<Action> actions;
  for (int i = 0; i < 30 && !rejection; ++i) {
    actions = fixture.handle(fixture.make_request());
    rejection = SchedulerFixture::find_action<RejectRequest>(actions);
  }
  ASSERT_NE(rejection, nullptr);
  EXPECT_GT(rejection->retry_after, 0us);
  EXPECT_LE(rejection->retry_after, 1s);
  EXPECT_EQ(SchedulerFixture::find_action<Send>(actions), nullptr)
      << "the request is rejected before any prefill";
}

TEST(LoadShedding, AcceptsLongPromptWithoutQueue) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  fixture.serve(fixture.make_request(4000), 400ms);
  // The prefill takes six seconds, but no other request waits before it.
  EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.make_request(60000))), 1u);
}

TEST(LoadShedding, RejectsNothingBeforeFirstPrefillIsMeasured) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)},
                           EndpointListKind::from_cache);
  for (int i = 0; i < 25; ++i)
    EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.make_request())), 1u) << i;
}

TEST(LoadShedding, RejectsWhenDecodeNodesReportFullMemory) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  fixture.handle(r);
  fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done);
  fixture.receive_first_token(r.id, 1, 9);
  fixture.complete_attempt(r.id, 1, 9, Outcome::ok, 500ms, 0, true, {1.0f});
  EXPECT_NE(SchedulerFixture::find_action<RejectRequest>(fixture.handle(fixture.make_request())), nullptr);
}

TEST(LoadShedding, RejectsOverQuotaTenantFirst) {
  Settings s = settings();
  s.tenants = {{"a", 4, 0.5}, {"b", 1000, 0.5}};
  s.over_quota_priority_weight = 0.1;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  fixture.serve(fixture.make_request(4000), 40ms);
  fixture.serve(fixture.make_request(4000), 40ms);
  int rejected_over_quota = 0, rejected_within_quota = 0;
  for (int i = 0; i < 60; ++i) {
    Request over_quota = fixture.make_request(4000), within_quota = fixture.make_request(4000);
    over_quota.tenant_index = 0;
    within_quota.tenant_index = 1;
    for (const auto* r : {&over_quota, &within_quota}) {
      const auto actions = fixture.handle(*r);
      const bool rejected = SchedulerFixture::find_action<RejectRequest>(actions) != nullptr;
      (r == &over_quota ? rejected_over_quota : rejected_within_quota) += rejected;
      fixture.now += 200ms;
      if (const EndpointId prefill_node = fixture.sent_to(actions)) {
        const EndpointId decode_node =
            fixture.sent_to(fixture.complete_attempt(r->id, 0, prefill_node, Outcome::prefill_done, 40ms));
        fixture.receive_first_token(r->id, 1, decode_node);
        fixture.complete_attempt(r->id, 1, decode_node, Outcome::ok, 400ms, 0, true);
      }
    }
  }
  EXPECT_EQ(rejected_over_quota + rejected_within_quota, 0) << "without a queue no request may be rejected";
  std::vector<Request> waiting;
  // The following requests arrive at the same time, so that a queue builds up.
  for (int i = 0; i < 200; ++i) {
    Request r = fixture.make_request(4000);
    r.tenant_index = i % 2;
    (i % 2 ? rejected_within_quota : rejected_over_quota) +=
        SchedulerFixture::find_action<RejectRequest>(fixture.handle(r)) != nullptr;
  }
  EXPECT_GT(rejected_over_quota, rejected_within_quota);
}

TEST(Determinism, SameEventsCauseSameChoices) {
  const auto trace_choices = [] {
    SchedulerFixture fixture(settings(), 5);
    std::string trace;
    fixture.update_endpoints({make_endpoint(3, prefill_kind), make_endpoint(1, prefill_kind),
                              make_endpoint(2, mixed_kind), make_endpoint(9, decode_kind),
                              make_endpoint(8, decode_kind)});
    for (int i = 0; i < 50; ++i)
      trace +=
          std::to_string(fixture.serve(fixture.make_request(1000 + 100 * i, 0, i % 7, i % 3, 500))) + ",";
    return trace;
  };
  EXPECT_EQ(trace_choices(), trace_choices());
}

}  // namespace
}  // namespace lemonroute::test
