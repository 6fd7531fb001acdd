// Failures that were found, each small.
#include <algorithm>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(Overdue, TinyEstimateDoesNotMakeAnAttemptOverdue) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 6; ++i)
    fixture.serve(fixture.request(4000, 0, 77), 20ms, 4000);
  fixture.handle(fixture.request(4010, 0, 77));  // ten tokens to read
  EXPECT_EQ(SchedulerFixture::find<CancelAttempt>(fixture.advance_to(fixture.now + 200ms)), nullptr);
}

TEST(Overdue, StuckReadIsCalledOffWhenAnotherReaderIsSooner) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 20; ++i)
    fixture.serve(fixture.request(4000));
  const Request r = fixture.request(4000);
  const EndpointId stuck = fixture.sent_to(fixture.handle(r));
  const auto actions = fixture.advance_to(fixture.now + 2s);
  ASSERT_NE(SchedulerFixture::find<CancelAttempt>(actions), nullptr);
  const EndpointId next = fixture.sent_to(fixture.complete(r.id, 0, stuck, Outcome::cancelled, 2s));
  EXPECT_EQ(next, 3 - stuck);
}

// A prefix that was evicted makes the read many times longer than its estimate, at every reader alike.
TEST(Overdue, ReadWithoutItsMatchIsLetEnd) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.request(40000), 1s);  // 25 us a token
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.request(40010, 0, 0, 5, 40000), 1s, 0);  // evicted: only guessed
  fixture.advance_to(fixture.now + 100ms);
  fixture.handle(fixture.request(40010, 0, 0, 5, 40000));
  const Micros sent = fixture.now;
  EXPECT_EQ(SchedulerFixture::find<CancelAttempt>(fixture.advance_to(sent + 1400ms)),
            nullptr);  // a third of its aim is 0.87 s
  EXPECT_NE(SchedulerFixture::find<CancelAttempt>(fixture.advance_to(sent + 4s)),
            nullptr);  // it is not waited for without end
}

TEST(Overdue, UnsafeAtAWriterIsNeverCalledOff) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(8, decode_kind), host(9, decode_kind)});
  for (int i = 0; i < 20; ++i)
    fixture.serve(fixture.request(4000));
  const Request r = fixture.request(4000, 2);
  fixture.handle(r);
  ASSERT_NE(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 0u);
  EXPECT_EQ(SchedulerFixture::find<CancelAttempt>(fixture.advance_to(fixture.now + 5s)), nullptr);
}

TEST(QuickFailures, HostThatFailsFastIsAvoidedThenTriedAgain) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 30; ++i)
    fixture.serve(fixture.request(4000));
  int failures = 0;
  const auto once = [&] {
    const Request r = fixture.request(4000);
    EndpointId reader = fixture.sent_to(fixture.handle(r));
    fixture.now += 20ms;
    if (reader != 2) {
      fixture.complete(r.id, 0, reader, Outcome::prefill_done, 100ms);
      fixture.first(r.id, 1, 9);
      fixture.complete(r.id, 1, 9, Outcome::ok, 500ms, 0, true);
      return;
    }
    ++failures;
    reader = fixture.sent_to(fixture.complete(r.id, 0, 2, Outcome::error, 5ms));
    EXPECT_NE(reader, 2u);
    fixture.handle(ClientDisconnected{r.id});
  };
  for (int i = 0; i < 60; ++i)
    once();
  EXPECT_GE(failures, 1);
  EXPECT_LE(failures, 3) << "a host that answers at once with an error must not draw the traffic";
  fixture.now += 30s;
  int again = 0;
  for (int i = 0; i < 9; ++i)
    again += fixture.sent_to(fixture.handle(fixture.request(4000))) == 2;  // at one time
  EXPECT_GT(again, 0) << "without probes it must come back by itself";
}

TEST(QuickFailures, WholePoolFailingIsNotShutOut) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 40; ++i) {
    const Request r = fixture.request(4000);
    EndpointId reader = fixture.sent_to(fixture.handle(r));
    ASSERT_NE(reader, 0u) << i;
    for (std::uint16_t attempt = 0; reader; ++attempt)
      reader = fixture.sent_to(fixture.complete(r.id, attempt, reader, Outcome::error, 5ms));
    fixture.now += 50ms;
  }
}

TEST(Attempts, OneIsKeptForTheWrite) {
  Settings s = settings();
  s.max_attempts = 2;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  const EndpointId reader = fixture.sent_to(fixture.handle(r));
  const auto actions = fixture.complete(r.id, 0, reader, Outcome::error);
  EXPECT_EQ(fixture.sent_to(actions), 0u) << "a second read would leave no attempt for the write";
  EXPECT_NE(SchedulerFixture::find<RejectRequest>(actions), nullptr);
}

TEST(ForgottenTexts, KeptFarBelowCreditVoidsTheTable) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  for (Key session = 1; session <= 8; ++session)
    fixture.serve(fixture.request(4000, 0, session), 100ms, 0);
  fixture.now += 3s;
  for (Key session = 1; session <= 8; ++session)
    fixture.serve(fixture.request(4100, 0, session), 100ms, 0);  // all forgotten
  EXPECT_TRUE(std::any_of(fixture.log_lines.begin(), fixture.log_lines.end(), [](const auto& line) {
    return line.starts_with("prefix cache records dropped: id=");
  }));
}

TEST(LostState, NoStateToFetchIsReadAgain) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  const EndpointId reader = fixture.sent_to(fixture.handle(r));
  fixture.complete(r.id, 0, reader, Outcome::prefill_done);
  const auto actions = fixture.complete(r.id, 1, 9, Outcome::rejected_over_capacity, 5ms, 1);
  const EndpointId again = fixture.sent_to(actions);
  EXPECT_TRUE(again == 1 || again == 2) << "read anew, not offered to a writer";
}

TEST(ReportedPrompts, CountOnlyByTheirFreshShare) {
  // A reader reports whole prompts, kept parts too; most of what waits there is kept and read in no time.
  Settings s = settings();
  s.report_columns = {"x1"};
  s.report_x1_is_queued_tokens = true;
  s.router_count = 2;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const auto serve = [&](float reported) {
    const Request r = fixture.request(8000, 0, 5);
    const auto actions = fixture.handle(r);
    if (!fixture.sent_to(actions))
      return false;
    fixture.now += 30ms;
    fixture.complete(r.id, 0, 1, Outcome::prefill_done, 30ms, 7800, false, {reported});
    fixture.first(r.id, 1, 9);
    fixture.complete(r.id, 1, 9, Outcome::ok, 300ms, 0, true);
    return true;
  };
  for (int i = 0; i < 60; ++i)
    ASSERT_TRUE(serve(0));
  ASSERT_TRUE(serve(40));
  EXPECT_TRUE(serve(40)) << "40,000 reported tokens are 1,000 to read";
}

TEST(LeftOut, ReaderWithNoConnectionDoesNotDrawTheTraffic) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 10; ++i)
    fixture.serve(fixture.request(4000));
  int refused_connections = 0;
  for (int i = 0; i < 60; ++i) {  // the others have queues: their reads do not end
    const Request r = fixture.request(1000);
    const EndpointId reader = fixture.sent_to(fixture.handle(r));
    fixture.now += 5ms;
    if (reader != 3)
      continue;
    ++refused_connections;
    fixture.complete(r.id, 0, 3, Outcome::connect_failed, 1ms);
  }
  EXPECT_LE(refused_connections, 2);
}

TEST(MixedHosts, IdleOnesReadWhenReadersQueue) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(5, mixed_kind), host(9, decode_kind)});
  fixture.serve(fixture.request(4000), 300ms);
  std::vector<EndpointId> used;
  for (int i = 0; i < 6; ++i)
    used.push_back(fixture.sent_to(fixture.handle(fixture.request(4000))));
  EXPECT_NE(std::count(used.begin(), used.end(), 5u), 0);
}

TEST(MixedHosts, DoNotReadAllTheTime) {
  // Reads that end at once leave no queue at the mixed host; its answers would still never get a turn.
  Settings s = settings();
  s.router_count = 3;
  SchedulerFixture fixture(s);
  fixture.list({host(5, mixed_kind), host(6, mixed_kind)});
  int sent = 0;
  for (int i = 0; i < 40; ++i) {
    const Request r = fixture.request(4000);
    const EndpointId reader = fixture.sent_to(fixture.handle(r));
    fixture.now += 50ms;
    if (!reader)
      continue;
    ++sent;
    fixture.first(r.id, 0, reader, 300ms);
    fixture.complete(r.id, 0, reader, Outcome::ok, 350ms, 0, true);
  }
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 25) << "300 ms of reading each, from three instances, on two hosts, in two seconds";
}

TEST(WriterReports, WaitingPromptsCountAsHeld) {
  Settings s = settings();
  s.report_columns = {"x0", "x1"};
  s.report_x0_is_memory = s.report_x1_is_queued_tokens = true;
  SchedulerFixture fixture(s);
  fixture.list({host(1, prefill_kind), host(8, decode_kind), host(9, decode_kind)});
  fixture.handle(HealthResult{8, Outcome::ok, 1ms, {0.5f, 90.f}});
  fixture.handle(HealthResult{9, Outcome::ok, 1ms, {0.7f, 0.f}});
  const Request r = fixture.request(4000);
  fixture.handle(r);
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done)), 9u)
      << "8 holds less but has a queue";
}

TEST(HotBeginning, SpreadOverAsManyHomesAsItFills) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(4, prefill_kind),
                host(9, decode_kind)});
  std::vector<EndpointId> rare, hot;
  for (Key session = 1; session <= 40; ++session) {  // one of forty beginnings each
    rare.push_back(
        fixture.serve(fixture.request(3500, 0, 1000 + session, 100 + session % 40, 3000), 50ms, 0));
  }
  for (Key session = 1; session <= 40; ++session)
    hot.push_back(fixture.serve(fixture.request(3500, 0, session, 7, 3000), 20ms, 2900));
  std::vector<EndpointId> late(hot.end() - 20, hot.end());
  std::sort(late.begin(), late.end());
  late.erase(std::unique(late.begin(), late.end()), late.end());
  EXPECT_EQ(late.size(), 4u) << "half of all arrivals would half fill all four readers";
}

// Found by an expectation: with prompts shorter than the class's usual work the choice let a cold reader pass
// and the send did not, so the request was refused while a warm reader stood idle.
TEST(FailureCold, WhatTheColdReaderMayNotTakeGoesToTheWarmOne) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 20; ++i) {
    fixture.serve(fixture.request(4000), 160ms);
    fixture.now += 100ms;
  }
  auto cold = host(2, prefill_kind);
  cold.started_at = fixture.now - 1s;
  fixture.list({cold}, EndpointListKind::incremental);
  int at_warm = 0;
  for (int i = 0; i < 24; ++i) {  // some of them have their home at the cold one
    const Request r = fixture.request(500);
    const EndpointId reader = fixture.sent_to(fixture.handle(r));
    ASSERT_NE(reader, 0u) << "request " << i << " was refused";
    at_warm += reader == 1;
    fixture.now += 20ms;
    const EndpointId writer = fixture.sent_to(fixture.complete(r.id, 0, reader, Outcome::prefill_done, 20ms));
    fixture.first(r.id, 1, writer);
    fixture.complete(r.id, 1, writer, Outcome::ok, 60ms, 0, true);
    fixture.now += 5ms;
  }
  EXPECT_GE(at_warm, 12);
}

// Found by an expectation: the holder of a conversation fell silent, was called off as overdue and, having
// read nearly all of the prompt before, was asked again and again until the deadline.
TEST(FailureStuck, AReaderCalledOffIsNotTheNextOneAsked) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  Request past = fixture.request(4000, 0, 77);
  EndpointId holder = 0;
  for (int i = 0; i < 3; ++i) {
    past.id = fixture.next_id++;
    holder = fixture.serve(past, 160ms);
    fixture.now += 1s;
  }
  const Request r = fixture.request(4400, 0, 77);
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), holder);
  const auto overdue = fixture.advance_to(fixture.now + 2s);
  ASSERT_NE(SchedulerFixture::find<CancelAttempt>(overdue), nullptr);
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, holder, Outcome::cancelled, 2s)), 3 - holder);
}
TEST(FailureStuck, TheOnlyReaderIsAskedAgain) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request(4000, 0);
  ASSERT_EQ(fixture.sent_to(fixture.handle(r)), 1u);
  EXPECT_EQ(fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::cancelled, 1s)), 1u);
}

}  // namespace
}  // namespace lemonroute::test
