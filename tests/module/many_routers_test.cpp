// Many routers, each of which sees few of the requests: their combined load, and estimates from few samples.
#include <algorithm>
#include <set>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(ManyRouters, TogetherStayWithinBudgetOfNodeInSlowStart) {
  constexpr std::uint32_t router_count = 150;
  std::vector<Endpoint> endpoints = {make_endpoint(90, decode_kind), make_endpoint(91, decode_kind)};
  for (EndpointId id = 1; id <= 11; ++id)
    endpoints.push_back(make_endpoint(id, prefill_kind));
  Key key = 1;  // a session that prefers node 11, which is in slow start later
  for (;; ++key) {
    SchedulerFixture probe_fixture;
    probe_fixture.update_endpoints(endpoints);
    if (probe_fixture.serve(probe_fixture.make_request(4000, 0, key)) == 11)
      break;
  }
  int sent_in_slow_start = 0;
  for (std::uint32_t router = 0; router < router_count; ++router) {
    Settings s = settings();
    s.router_count = router_count;
    s.router_index = router;
    SchedulerFixture fixture(s);
    fixture.update_endpoints(endpoints);
    for (int i = 0; i < 20; ++i) {  // about one request per second over all prefill nodes
      fixture.serve(fixture.make_request(4000, 0, 1000 * (router + 1) + static_cast<Key>(i)));
      fixture.now += 350ms;
    }
    auto new_node = make_endpoint(11, prefill_kind);
    new_node.started_at = Micros(1020s);
    // All routers send their request within one window of three seconds.
    fixture.now = std::max(fixture.now, Micros(1020s) + 20ms * router);
    fixture.update_endpoints({new_node}, EndpointListKind::incremental);
    sent_in_slow_start += fixture.sent_to(fixture.handle(fixture.make_request(4000, 0, key))) == 11;
  }
  // A warm node serves 150 / 11 requests per second. A new node may be sent 2.5 times a quarter of that.
  EXPECT_LE(sent_in_slow_start, 150.0 / 11 * 3 * 2.5 * 0.25);
  EXPECT_GE(sent_in_slow_start, 1) << "without requests the node cannot warm up";
}

// When routers ignored zones, two of three requests were served outside their router's zone. A stream then
// broke when either zone failed, and every zone prefilled every shared prefix.
TEST(ManyRouters, ChooseNodesInTheirZoneAndCacheEachPrefixAtFewNodes) {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 24; ++id)
    endpoints.push_back(make_endpoint(1 + id, prefill_kind, id % 6, id % 3));
  for (EndpointId id = 0; id < 15; ++id)
    endpoints.push_back(make_endpoint(101 + id, decode_kind, id % 6, id % 3));
  int in_own_zone = 0, requests = 0;
  std::set<std::pair<Key, EndpointId>> cached_prefixes;  // prefixes at prefill nodes
  for (std::uint32_t router = 0; router < 90; ++router) {
    Settings s = settings();
    s.router_count = 90;
    s.router_index = router;
    s.router_zone = router % 3;
    SchedulerFixture fixture(s);
    fixture.update_endpoints(endpoints);
    for (Key i = 0; i < 10; ++i) {  // each router sees a prefix at most once
      const Key shared_prefix = 1 + (router + 7 * i) % 40;
      const EndpointId prefill_node =
          fixture.serve(fixture.make_request(4000, 0, 1000 * (router + 1) + i, shared_prefix, 3000));
      in_own_zone += (prefill_node - 1) % 3 == s.router_zone;
      ++requests;
      cached_prefixes.emplace(shared_prefix, prefill_node);
    }
  }
  EXPECT_GE(in_own_zone, requests * 8 / 10);
  EXPECT_LE(cached_prefixes.size(), 40u * 3 * 3) << "a few nodes in each zone, not all of them";
}

TEST(ManyRouters, MakeSameChoicesAsFewRoutersForSameEvents) {
  std::vector<Endpoint> endpoints = {make_endpoint(90, decode_kind), make_endpoint(91, decode_kind)};
  for (EndpointId id = 1; id <= 6; ++id)
    endpoints.push_back(make_endpoint(id, prefill_kind));
  Settings few_routers = settings(), many_routers = settings();
  few_routers.router_count = 2;
  many_routers.router_count = 200;
  SchedulerFixture one_of_few(few_routers), one_of_many(many_routers);
  one_of_few.update_endpoints(endpoints);
  one_of_many.update_endpoints(endpoints);
  for (Key i = 0; i < 60; ++i)
    EXPECT_EQ(one_of_few.serve(one_of_few.make_request(4000, 0, 1 + i % 20, 1 + i % 5, 3000)),
              one_of_many.serve(one_of_many.make_request(4000, 0, 1 + i % 20, 1 + i % 5, 3000)));
}

TEST(FewSamples, OneSlowFirstPrefillDoesNotCauseLongRejection) {
  Settings s = settings();
  s.router_count = 100;
  s.report_columns = {"x1"};
  s.report_x1_is_queued_tokens = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request(2000);
  fixture.handle(r);
  fixture.now += 3s;
  fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done, 3s, 0, false, {20.f});
  fixture.receive_first_token(r.id, 1, 9);
  fixture.complete_attempt(r.id, 1, 9, Outcome::ok, 500ms, 0, true);
  bool accepted = false;
  for (int second = 0; second < 30 && !accepted; ++second) {
    fixture.now += 1s;
    accepted = fixture.sent_to(fixture.handle(fixture.make_request(2000))) != 0;
  }
  EXPECT_TRUE(accepted) << "a router that rejects every request measures no new prefill";
}

TEST(FewSamples, DecodeNodesWithoutReportAreNotAssumedAsFullAsMixedNodes) {
  Settings s = settings();
  s.router_count = 100;
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(5, mixed_kind),
                            make_endpoint(6, mixed_kind), make_endpoint(7, decode_kind),
                            make_endpoint(8, decode_kind), make_endpoint(9, decode_kind),
                            make_endpoint(10, decode_kind)});
  for (int i = 0; i < 3; ++i) {
    for (const EndpointId mixed_node : {5, 6})
      fixture.handle(HealthResult{mixed_node, Outcome::ok, 1ms, {0.6f}});
    fixture.handle(HealthResult{7, Outcome::ok, 1ms, {0.2f}});
  }
  std::set<EndpointId> decode_nodes;
  for (int i = 0; i < 12; ++i) {
    const Request r = fixture.make_request(2000);
    fixture.handle(r);
    decode_nodes.insert(fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done, 30ms)));
  }
  EXPECT_GE(decode_nodes.size(), 3u);
  EXPECT_EQ(decode_nodes.count(5) + decode_nodes.count(6), 0u);
}

}  // namespace
}  // namespace lemonroute::test
