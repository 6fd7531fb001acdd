// The ordinary path: which reader, which writer, and when a request is refused before its read.
#include <algorithm>
#include <set>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(ReaderChoice, PrefersTheReaderThatHoldsTheSession) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(3, reader_kind), host(9, writer_kind)});
  const EndpointId first = bed.serve(bed.request(4000, 0, 77));
  for (int turn = 0; turn < 5; ++turn)
    EXPECT_EQ(bed.serve(bed.request(4500, 0, 77), 20ms, 4000), first);
}

TEST(ReaderChoice, SharedBeginningMatchesOtherSessions) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(3, reader_kind), host(4, reader_kind),
            host(9, writer_kind)});
  std::set<EndpointId> used;
  for (Key session = 100; session < 112; ++session) {
    for (Key other = 0; other < 4; ++other)
      bed.serve(bed.request(3500, 0, 1000 + 10 * session + other, 50 + other, 3000), 60ms, 0);
    used.insert(bed.serve(bed.request(3500, 0, session, 5, 3000), 60ms, 0));
  }
  EXPECT_LE(used.size(), 2u) << "one of five shared beginnings does not fill a reader while nobody waits";
}

TEST(ReaderChoice, InstancesAgreeOnTheHomeOfAnUnseenKey) {
  Bed one(settings(), 1), two(settings(), 99);
  for (Bed* bed : {&one, &two})
    bed->list({host(1, reader_kind), host(2, reader_kind), host(3, reader_kind), host(9, writer_kind)});
  for (Key key = 1; key < 30; ++key) {
    const Request a = one.request(4000, 0, key * 31, key, 3000),
                  b = two.request(4000, 0, key * 31, key, 3000);
    EXPECT_EQ(one.serve(a), two.serve(b));
  }
}

// Sessions that all live at one reader, and one more than its queue can bear.
std::vector<Key> sessions_at(Bed& bed, EndpointId home) {
  std::vector<Key> found;
  for (Key session = 1; session <= 60; ++session)
    if (bed.serve(bed.request(1000, 0, session), 50ms) == home)
      found.push_back(session);
  return found;
}

TEST(ReaderChoice, LongWaitSendsEvenAMatchElsewhere) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(9, writer_kind)});
  const EndpointId home = bed.serve(bed.request(1000), 50ms);
  std::vector<EndpointId> used;
  for (const Key session : sessions_at(bed, home))
    used.push_back(bed.sent(bed.feed(bed.request(2500, 0, session))));
  ASSERT_GT(used.size(), 8u);
  EXPECT_EQ(used.front(), home);
  EXPECT_NE(std::count(used.begin(), used.end(), 3 - home), 0)
      << "the home's queue never outweighed its matches";
}

TEST(ReaderChoice, BalancingBranchMakesANewHome) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(9, writer_kind)});
  const EndpointId home = bed.serve(bed.request(1000), 50ms);
  for (const Key session : sessions_at(bed, home)) {
    const Request r = bed.request(2500, 0, session);
    if (bed.sent(bed.feed(r)) == home)
      continue;
    // The one that took the overflow now holds the session too: its next turn goes there, past the queue.
    bed.complete(r.id, 0, 3 - home, Outcome::prefill_done, 100ms);
    EXPECT_EQ(bed.sent(bed.feed(bed.request(2600, 0, session))), 3 - home);
    return;
  }
  FAIL() << "nothing overflowed";
}

TEST(ReaderChoice, AvoidsTheSlowerReader) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(9, writer_kind)});
  for (int i = 0; i < 30; ++i) {
    const Request r = bed.request(4000);
    const EndpointId reader = bed.sent(bed.feed(r));
    bed.now += 100ms;
    const auto elapsed = reader == 1 ? 900ms : 100ms;
    const EndpointId writer = bed.sent(bed.complete(r.id, 0, reader, Outcome::prefill_done, elapsed));
    bed.first(r.id, 1, writer);
    bed.complete(r.id, 1, writer, Outcome::ok, 500ms, 0, true);
  }
  int slow = 0;
  for (int i = 0; i < 10; ++i)
    slow += bed.serve(bed.request(4000)) == 1;
  EXPECT_LE(slow, 2);
}

TEST(WriterChoice, NearestOfTheLeastLoaded) {
  Bed bed;
  bed.list({host(1, reader_kind, 4, 1), host(10, writer_kind, 5, 0), host(11, writer_kind, 6, 1),
            host(12, writer_kind, 4, 1)});
  const Request r = bed.request();
  ASSERT_EQ(bed.sent(bed.feed(r)), 1u);
  EXPECT_EQ(bed.sent(bed.complete(r.id, 0, 1, Outcome::prefill_done)), 12u)
      << "the reader's cell comes first";
}

TEST(WriterChoice, ZoneComesAfterCell) {
  Bed bed;
  bed.list({host(1, reader_kind, 4, 1), host(10, writer_kind, 5, 0), host(11, writer_kind, 6, 1)});
  const Request r = bed.request();
  bed.feed(r);
  EXPECT_EQ(bed.sent(bed.complete(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(WriterChoice, LoadedNearWriterYieldsToAFarOne) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  Bed bed(s);
  bed.list({host(1, reader_kind, 4), host(10, writer_kind, 4), host(11, writer_kind, 5)});
  Request r = bed.request();
  bed.feed(r);
  ASSERT_EQ(bed.sent(bed.complete(r.id, 0, 1, Outcome::prefill_done)), 10u);
  bed.first(r.id, 1, 10);
  bed.complete(r.id, 1, 10, Outcome::ok, 500ms, 0, true, {0.8f});
  r = bed.request();
  bed.feed(r);
  bed.feed(HealthResult{11, Outcome::ok, 1ms, {0.1f}});
  EXPECT_EQ(bed.sent(bed.complete(r.id, 0, 1, Outcome::prefill_done)), 11u);
}

TEST(WriterChoice, ChosenOnlyAfterTheRead) {
  Settings s = settings();
  s.reservation_allowed = true;
  Bed bed(s);
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  const auto actions = bed.feed(bed.request());
  EXPECT_EQ(bed.sent(actions), 1u);
  EXPECT_EQ(Bed::find<ReserveCapacity>(actions), nullptr);
}

TEST(EarlyRefusal, WaitBeyondTheAimIsRefusedWithAHint) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  bed.serve(bed.request(), 400ms);
  const RejectRequest* refused = nullptr;
  std::vector<Action> actions;
  for (int i = 0; i < 30 && !refused; ++i) {
    actions = bed.feed(bed.request());
    refused = Bed::find<RejectRequest>(actions);
  }
  ASSERT_NE(refused, nullptr);
  EXPECT_GT(refused->retry_after, 0us);
  EXPECT_LE(refused->retry_after, 1s);
  EXPECT_EQ(Bed::find<Send>(actions), nullptr) << "refused before any read";
}

TEST(EarlyRefusal, OwnLongReadIsNoReason) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  bed.serve(bed.request(4000), 400ms);
  EXPECT_EQ(bed.sent(bed.feed(bed.request(60000))), 1u);  // six seconds to read, nobody before it
}

TEST(EarlyRefusal, NothingBeforeARateIsKnown) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)}, EndpointListKind::from_cache);
  for (int i = 0; i < 25; ++i)
    EXPECT_EQ(bed.sent(bed.feed(bed.request())), 1u) << i;
}

TEST(EarlyRefusal, WritersThatLookFull) {
  Settings s = settings();
  s.report_columns = {"x0"};
  s.report_x0_is_memory = true;
  Bed bed(s);
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  const Request r = bed.request();
  bed.feed(r);
  bed.complete(r.id, 0, 1, Outcome::prefill_done);
  bed.first(r.id, 1, 9);
  bed.complete(r.id, 1, 9, Outcome::ok, 500ms, 0, true, {1.0f});
  EXPECT_NE(Bed::find<RejectRequest>(bed.feed(bed.request())), nullptr);
}

TEST(EarlyRefusal, TrafficBeyondAShareYieldsFirst) {
  Settings s = settings();
  s.tenants = {{"a", 4, 0.5}, {"b", 1000, 0.5}};
  s.over_quota_priority_weight = 0.1;
  Bed bed(s);
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  bed.serve(bed.request(4000), 40ms);
  bed.serve(bed.request(4000), 40ms);
  int refused_flood = 0, refused_other = 0;
  for (int i = 0; i < 60; ++i) {
    Request flood = bed.request(4000), other = bed.request(4000);
    flood.tenant_index = 0;
    other.tenant_index = 1;
    for (const auto* r : {&flood, &other}) {
      const auto actions = bed.feed(*r);
      const bool refused = Bed::find<RejectRequest>(actions) != nullptr;
      (r == &flood ? refused_flood : refused_other) += refused;
      bed.now += 200ms;
      if (const EndpointId reader = bed.sent(actions)) {
        const EndpointId writer = bed.sent(bed.complete(r->id, 0, reader, Outcome::prefill_done, 40ms));
        bed.first(r->id, 1, writer);
        bed.complete(r->id, 1, writer, Outcome::ok, 400ms, 0, true);
      }
    }
  }
  EXPECT_EQ(refused_flood + refused_other, 0) << "nobody waits, nobody is refused";
  std::vector<Request> waiting;  // now a queue
  for (int i = 0; i < 200; ++i) {
    Request r = bed.request(4000);
    r.tenant_index = i % 2;
    (i % 2 ? refused_other : refused_flood) += Bed::find<RejectRequest>(bed.feed(r)) != nullptr;
  }
  EXPECT_GT(refused_flood, refused_other);
}

TEST(Determinism, SameEventsSameActions) {
  const auto run = [] {
    Bed bed(settings(), 5);
    std::string trace;
    bed.list({host(3, reader_kind), host(1, reader_kind), host(2, mixed_kind), host(9, writer_kind),
              host(8, writer_kind)});
    for (int i = 0; i < 50; ++i)
      trace += std::to_string(bed.serve(bed.request(1000 + 100 * i, 0, i % 7, i % 3, 500))) + ",";
    return trace;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace lemonroute::test
