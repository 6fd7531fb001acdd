// The ordinary path: which reader, which writer, and when a request is refused before its read.
#include <algorithm>
#include <set>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(ReaderChoice, PrefersTheReaderThatHoldsTheSession) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  const EndpointId first = fixture.serve(fixture.request(4000, 0, 77));
  for (int turn = 0; turn < 5; ++turn)
    EXPECT_EQ(fixture.serve(fixture.request(4500, 0, 77), 20ms, 4000), first);
}

TEST(ReaderChoice, SharedBeginningMatchesOtherSessions) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(4, prefill_kind),
                host(9, decode_kind)});
  std::set<EndpointId> used;
  for (Key session = 100; session < 112; ++session) {
    for (Key other = 0; other < 4; ++other)
      fixture.serve(fixture.request(3500, 0, 1000 + 10 * session + other, 50 + other, 3000), 60ms, 0);
    used.insert(fixture.serve(fixture.request(3500, 0, session, 5, 3000), 60ms, 0));
  }
  EXPECT_LE(used.size(), 2u) << "one of five shared beginnings does not fill a reader while nobody waits";
}

TEST(ReaderChoice, InstancesAgreeOnTheHomeOfAnUnseenKey) {
  SchedulerFixture one(settings(), 1), two(settings(), 99);
  for (SchedulerFixture* fixture : {&one, &two})
    fixture->list(
        {host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  for (Key key = 1; key < 30; ++key) {
    const Request a = one.request(4000, 0, key * 31, key, 3000),
                  b = two.request(4000, 0, key * 31, key, 3000);
    EXPECT_EQ(one.serve(a), two.serve(b));
  }
}

// Sessions that all live at one reader, and one more than its queue can bear.
std::vector<Key> sessions_at(SchedulerFixture& fixture, EndpointId home) {
  std::vector<Key> found;
  for (Key session = 1; session <= 60; ++session)
    if (fixture.serve(fixture.request(1000, 0, session), 50ms) == home)
      found.push_back(session);
  return found;
}

TEST(ReaderChoice, LongWaitSendsEvenAMatchElsewhere) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const EndpointId home = fixture.serve(fixture.request(1000), 50ms);
  std::vector<EndpointId> used;
  for (const Key session : sessions_at(fixture, home))
    used.push_back(fixture.sent_to(fixture.handle(fixture.request(2500, 0, session))));
  ASSERT_GT(used.size(), 8u);
  EXPECT_EQ(used.front(), home);
  EXPECT_NE(std::count(used.begin(), used.end(), 3 - home), 0)
      << "the home's queue never outweighed its matches";
}

TEST(ReaderChoice, BalancingBranchMakesANewHome) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const EndpointId home = fixture.serve(fixture.request(1000), 50ms);
  for (const Key session : sessions_at(fixture, home)) {
    const Request r = fixture.request(2500, 0, session);
    if (fixture.sent_to(fixture.handle(r)) == home)
      continue;
    // The one that took the overflow now holds the session too: its next turn goes there, past the queue.
    fixture.complete(r.id, 0, 3 - home, Outcome::prefill_done, 100ms);
    EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.request(2600, 0, session))), 3 - home);
    return;
  }
  FAIL() << "nothing overflowed";
}

TEST(ReaderChoice, AvoidsTheSlowerReader) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 30; ++i) {
    const Request r = fixture.request(4000);
    const EndpointId reader = fixture.sent_to(fixture.handle(r));
    fixture.now += 100ms;
    const auto elapsed = reader == 1 ? 900ms : 100ms;
    const EndpointId writer =
        fixture.sent_to(fixture.complete(r.id, 0, reader, Outcome::prefill_done, elapsed));
    fixture.first(r.id, 1, writer);
    fixture.complete(r.id, 1, writer, Outcome::ok, 500ms, 0, true);
  }
  int slow = 0;
  for (int i = 0; i < 10; ++i)
    slow += fixture.serve(fixture.request(4000)) == 1;
  EXPECT_LE(slow, 2);
}

TEST(WriterChoice, NearestOfTheLeastLoaded) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind, 4, 1), host(10, decode_kind, 5, 0), host(11, decode_kind, 6, 1),
                host(12, decode_kind, 4, 1)});
  const Request r = fixture.request();
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), 1u);
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 12u)
      << "the reader's cell comes first";
}

TEST(WriterChoice, ZoneComesAfterCell) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind, 4, 1), host(10, decode_kind, 5, 0), host(11, decode_kind, 6, 1)});
  const Request r = fixture.request();
  fixture.handle(r);
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(WriterChoice, LoadedNearWriterYieldsToAFarOne) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind, 4), host(10, decode_kind, 4), host(11, decode_kind, 5)});
  Request r = fixture.request();
  fixture.handle(r);
  ASSERT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 10u);
  fixture.first(r.id, 1, 10);
  fixture.complete(r.id, 1, 10, Outcome::ok, 500ms, 0, true, {0.8f});
  r = fixture.request();
  fixture.handle(r);
  fixture.handle(HealthResult{11, Outcome::ok, 1ms, {0.1f}});
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(WriterChoice, ChosenOnlyAfterTheRead) {
  Settings s = settings();
  s.reservation_allowed = true;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const auto actions = fixture.handle(fixture.request());
  EXPECT_EQ(fixture.sent_to(actions), 1u);
  EXPECT_EQ(SchedulerFixture::find<ReserveCapacity>(actions), nullptr);
}

TEST(EarlyRefusal, WaitBeyondTheAimIsRefusedWithAHint) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  fixture.serve(fixture.request(), 400ms);
  const RejectRequest* refused = nullptr;
  std::vector<Action> actions;
  for (int i = 0; i < 30 && !refused; ++i) {
    actions = fixture.handle(fixture.request());
    refused = SchedulerFixture::find<RejectRequest>(actions);
  }
  ASSERT_NE(refused, nullptr);
  EXPECT_GT(refused->retry_after, 0us);
  EXPECT_LE(refused->retry_after, 1s);
  EXPECT_EQ(SchedulerFixture::find<Send>(actions), nullptr) << "refused before any read";
}

TEST(EarlyRefusal, OwnLongReadIsNoReason) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  fixture.serve(fixture.request(4000), 400ms);
  EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.request(60000))),
            1u);  // six seconds to read, nobody before it
}

TEST(EarlyRefusal, NothingBeforeARateIsKnown) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)}, EndpointListKind::from_cache);
  for (int i = 0; i < 25; ++i)
    EXPECT_EQ(fixture.sent_to(fixture.handle(fixture.request())), 1u) << i;
}

TEST(EarlyRefusal, WritersThatLookFull) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  fixture.handle(r);
  fixture.complete(r.id, 0, 1, Outcome::prefill_done);
  fixture.first(r.id, 1, 9);
  fixture.complete(r.id, 1, 9, Outcome::ok, 500ms, 0, true, {1.0f});
  EXPECT_NE(SchedulerFixture::find<RejectRequest>(fixture.handle(fixture.request())), nullptr);
}

TEST(EarlyRefusal, TrafficBeyondAShareYieldsFirst) {
  Settings s = settings();
  s.tenants = {{"a", 4, 0.5}, {"b", 1000, 0.5}};
  s.over_quota_priority_weight = 0.1;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  fixture.serve(fixture.request(4000), 40ms);
  fixture.serve(fixture.request(4000), 40ms);
  int refused_flood = 0, refused_other = 0;
  for (int i = 0; i < 60; ++i) {
    Request flood = fixture.request(4000), other = fixture.request(4000);
    flood.tenant_index = 0;
    other.tenant_index = 1;
    for (const auto* r : {&flood, &other}) {
      const auto actions = fixture.handle(*r);
      const bool refused = SchedulerFixture::find<RejectRequest>(actions) != nullptr;
      (r == &flood ? refused_flood : refused_other) += refused;
      fixture.now += 200ms;
      if (const EndpointId reader = fixture.sent_to(actions)) {
        const EndpointId writer =
            fixture.sent_to(fixture.complete(r->id, 0, reader, Outcome::prefill_done, 40ms));
        fixture.first(r->id, 1, writer);
        fixture.complete(r->id, 1, writer, Outcome::ok, 400ms, 0, true);
      }
    }
  }
  EXPECT_EQ(refused_flood + refused_other, 0) << "nobody waits, nobody is refused";
  std::vector<Request> waiting;  // now a queue
  for (int i = 0; i < 200; ++i) {
    Request r = fixture.request(4000);
    r.tenant_index = i % 2;
    (i % 2 ? refused_other : refused_flood) +=
        SchedulerFixture::find<RejectRequest>(fixture.handle(r)) != nullptr;
  }
  EXPECT_GT(refused_flood, refused_other);
}

TEST(Determinism, SameEventsSameActions) {
  const auto run = [] {
    SchedulerFixture fixture(settings(), 5);
    std::string trace;
    fixture.list({host(3, prefill_kind), host(1, prefill_kind), host(2, mixed_kind), host(9, decode_kind),
                  host(8, decode_kind)});
    for (int i = 0; i < 50; ++i)
      trace += std::to_string(fixture.serve(fixture.request(1000 + 100 * i, 0, i % 7, i % 3, 500))) + ",";
    return trace;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace lemonroute::test
