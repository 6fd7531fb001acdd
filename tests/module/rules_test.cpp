// The five rules: one by one, then under seeded runs of random legal event sequences. The generator makes
// events, it is no model of servers; the checker knows only the rules.
#include <algorithm>
#include <limits>
#include <map>
#include <random>

#include "support.h"

namespace lemonroute::test {
namespace {

// ---- One by one ----

TEST(RuleAnswer, NoUsableHostIsAnsweredAtOnce) {
  SchedulerFixture fixture;
  fixture.list({});
  EXPECT_NE(SchedulerFixture::find<RejectRequest>(fixture.handle(fixture.request(4000, 0))), nullptr);
  EXPECT_NE(SchedulerFixture::find<RejectRequest>(fixture.handle(fixture.request(4000, 2))), nullptr)
      << "nothing has run: an unsafe one too";
}

TEST(RuleAnswer, TimeOutAtTheDeadlineFailsAtOnceAndOnce) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  fixture.handle(r);
  fixture.now += 6s;
  const auto actions = fixture.complete(r.id, 0, 1, Outcome::timeout, 6s);
  EXPECT_NE(SchedulerFixture::find<FailRequest>(actions), nullptr);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_EQ(SchedulerFixture::find<FailRequest>(fixture.handle(ClientDisconnected{r.id})), nullptr);
}

TEST(RuleAnswer, NothingIsSentAfterTheEnd) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  const EndpointId reader = fixture.sent_to(fixture.handle(r));
  fixture.handle(ClientDisconnected{r.id});
  const auto actions = fixture.complete(r.id, 0, reader, Outcome::prefill_done);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_NE(SchedulerFixture::find<ReleaseReservation>(actions), nullptr) << "and the state is let go";
}

TEST(RuleEffect, UnsafeThatMayHaveRunFails) {
  for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timeout, Outcome::cancelled}) {
    SchedulerFixture fixture;
    fixture.list({host(1, prefill_kind), host(8, decode_kind), host(9, decode_kind)});
    const Request r = fixture.request(4000, 2);
    fixture.handle(r);
    const EndpointId writer = fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done));
    const auto actions = fixture.complete(r.id, 1, writer, outcome);
    EXPECT_EQ(fixture.sent_to(actions), 0u);
    EXPECT_EQ(SchedulerFixture::find<RejectRequest>(actions), nullptr);
    EXPECT_NE(SchedulerFixture::find<FailRequest>(actions), nullptr);
    EXPECT_NE(SchedulerFixture::find<ReleaseReservation>(actions), nullptr);
  }
}

TEST(RuleEffect, UnsafeThatNeverRanGoesElsewhere) {
  for (const Outcome outcome : {Outcome::rejected_over_capacity, Outcome::connect_failed}) {
    SchedulerFixture fixture;
    fixture.list({host(1, prefill_kind), host(8, decode_kind), host(9, decode_kind)});
    const Request r = fixture.request(4000, 2);
    fixture.handle(r);
    const EndpointId writer = fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done));
    const EndpointId next = fixture.sent_to(fixture.complete(r.id, 1, writer, outcome));
    EXPECT_NE(next, 0u);
    EXPECT_NE(next, writer);
  }
}

TEST(RuleEffect, AReadHasNoEffect) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request(4000, 2);
  const EndpointId reader = fixture.sent_to(fixture.handle(r));
  const EndpointId next = fixture.sent_to(fixture.complete(r.id, 0, reader, Outcome::reset));
  EXPECT_NE(next, 0u);
  EXPECT_NE(next, reader);
}

TEST(RuleEffect, KeyedStaysInItsGroupAndWindow) {
  for (const bool in_time : {true, false}) {
    SchedulerFixture fixture;
    fixture.list({host(1, prefill_kind, 1), host(7, decode_kind, 1), host(8, decode_kind, 1),
                  host(9, decode_kind, 2)});
    const Request r = fixture.request(4000, 1);
    fixture.handle(r);
    const EndpointId writer = fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done));
    ASSERT_TRUE(writer == 7 || writer == 8);
    fixture.now += in_time ? 1s : 3s;
    const auto actions = fixture.complete(r.id, 1, writer, Outcome::error);
    if (in_time) {
      EXPECT_EQ(fixture.sent_to(actions), 15 - writer) << "the other of its cell";
    } else {
      EXPECT_EQ(fixture.sent_to(actions), 0u) << "they no longer remember it";
      EXPECT_NE(SchedulerFixture::find<FailRequest>(actions), nullptr);
    }
  }
}

TEST(RuleDrain, DrainingAndMissingHostsGetNothing) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(9, decode_kind)});
  auto draining = host(1, prefill_kind);
  draining.state = EndpointState::draining;
  fixture.list({draining}, EndpointListKind::incremental);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(fixture.serve(fixture.request()), 2u);
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});  // 2 is missing from a whole list: gone
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(fixture.serve(fixture.request()), 1u);
}

TEST(RuleCold, AFreshHostGetsItsPartOfTheBudget) {
  Settings s = settings();
  s.router_count = 3;
  SchedulerFixture fixture(s);
  const auto run = [&](int count) {
    int cold = 0;
    for (int i = 0; i < count; ++i) {
      const Request r = fixture.request();
      const EndpointId reader = fixture.sent_to(fixture.handle(r));
      fixture.now += 60ms;
      cold += reader == 2;
      const EndpointId writer =
          fixture.sent_to(fixture.complete(r.id, 0, reader, Outcome::prefill_done, 50ms));
      fixture.first(r.id, 1, writer);
      fixture.complete(r.id, 1, writer, Outcome::ok, 200ms, 0, true);
    }
    return cold;
  };
  fixture.list({host(1, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  run(200);
  auto fresh = host(2, prefill_kind);
  fresh.started_at = fixture.now;
  fixture.list({fresh}, EndpointListKind::incremental);
  const int first_window = run(50);  // three seconds, 25 sent to each warm reader
  EXPECT_GE(first_window, 1) << "it must be let warm up";
  EXPECT_LE(first_window, 25 * 2.5 * 0.25) << "the whole allowance, were all instances to send alike";
  run(250);
  EXPECT_GT(run(60), 10) << "warm, it takes its share";
}

TEST(RulePinned, StateIsTakenOrLetGoAtOnce) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  fixture.handle(r);
  auto draining = host(9, decode_kind);
  draining.state = EndpointState::draining;
  fixture.list({draining}, EndpointListKind::incremental);
  const auto actions = fixture.complete(r.id, 0, 1, Outcome::prefill_done);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_NE(SchedulerFixture::find<RejectRequest>(actions), nullptr);
  EXPECT_NE(SchedulerFixture::find<ReleaseReservation>(actions), nullptr);
}

TEST(RulePinned, AWriterThatFailsLeavesTheStateForAnother) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(8, decode_kind), host(9, decode_kind)});
  const Request r = fixture.request();
  fixture.handle(r);
  EndpointId writer = fixture.sent_to(fixture.complete(r.id, 0, 1, Outcome::prefill_done));
  const auto actions = fixture.complete(r.id, 1, writer, Outcome::connect_failed);
  EXPECT_EQ(fixture.sent_to(actions), 17 - writer);
  EXPECT_EQ(SchedulerFixture::find<ReleaseReservation>(actions), nullptr);
}

// ---- Under random sequences ----

struct Checker {
  const Settings& s;
  struct Try {
    EndpointId host;
    Micros sent;
    bool out = true, may_have_run = false;
    Role role;
  };
  struct Req {
    Request r;
    Micros deadline;
    bool live = true, answered = false, held = false;
    Micros free_since{};
    std::vector<Try> tries;
  };
  std::map<RequestId, Req> reqs;
  std::map<EndpointId, Endpoint> listed;
  std::vector<std::pair<RequestId, std::uint16_t>> cancelled;

  bool out(const Req& q) const {
    return std::any_of(q.tries.begin(), q.tries.end(), [](auto& t) { return t.out; });
  }
  bool may_run(const Req& q, const Try& t) const {
    return t.role != Role::prefill && (t.may_have_run || t.out) &&
           s.classes[q.r.class_index].idempotency != Idempotency::idempotent;
  }

  void check(Micros now, const std::vector<Action>& actions) {
    for (const auto& action : actions) {
      if (const auto* a = std::get_if<Send>(&action))
        send(now, *a);
      if (const auto* a = std::get_if<RejectRequest>(&action))
        answer(a->id, true);
      if (const auto* a = std::get_if<FailRequest>(&action))
        answer(a->id, false);
      if (const auto* a = std::get_if<ReleaseReservation>(&action))
        reqs.at(a->id).held = false;
      if (const auto* a = std::get_if<CancelAttempt>(&action)) {
        ASSERT_LT(a->attempt, reqs.at(a->id).tries.size());
        cancelled.emplace_back(a->id, a->attempt);
      }
    }
    for (const auto& [id, q] : reqs) {
      EXPECT_FALSE(q.held && !out(q) && now - q.free_since > s.reservation_release_timeout)
          << "pinned: request " << id;
      EXPECT_FALSE(q.live && !q.answered && !out(q) && now > q.deadline) << "unanswered: request " << id;
    }
  }
  void send(Micros now, const Send& a) {
    auto& q = reqs.at(a.id);
    EXPECT_TRUE(q.live && !q.answered) << "sent after its end: request " << a.id;
    ASSERT_TRUE(listed.count(a.endpoint)) << "never listed";
    EXPECT_EQ(listed.at(a.endpoint).state, EndpointState::ready);
    const Role role = s.kind_role[listed.at(a.endpoint).kind];
    EXPECT_LT(q.tries.size(), s.max_attempts);
    const auto effect = s.classes[q.r.class_index].idempotency;
    if (out(q)) {
      EXPECT_TRUE(s.hedging_allowed && effect == Idempotency::idempotent);
    }
    for (const auto& t : q.tries)
      if (role != Role::prefill && may_run(q, t)) {
        EXPECT_NE(effect, Idempotency::not_idempotent) << "an unsafe request sent twice";
        EXPECT_EQ(listed.at(t.host).cell, listed.at(a.endpoint).cell);
        EXPECT_LT(now - t.sent, s.classes[q.r.class_index].retry_window);
      }
    q.tries.push_back({a.endpoint, now, true, false, role});
  }
  void answer(RequestId id, bool refused) {
    auto& q = reqs.at(id);
    EXPECT_TRUE(q.live && !q.answered) << "answered twice: request " << id;
    q.answered = true;
    if (refused)
      for (const auto& t : q.tries) {
        EXPECT_FALSE(may_run(q, t)) << "refused though it may have run";
        EXPECT_FALSE(s.classes[q.r.class_index].idempotency == Idempotency::not_idempotent && t.out);
      }
  }
};

void random_day(std::uint64_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937_64 random(seed);
  const auto chance = [&](double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; };
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  Settings s = settings();
  s.hedging_allowed = chance(0.3);
  s.cancellation_allowed = chance(0.8);
  s.decode_nodes_prefill = chance(0.5);
  s.max_attempts = 1 + static_cast<std::uint32_t>(below(5));
  s.router_count = 1 + static_cast<std::uint32_t>(below(4));
  s.report_columns = {"x0", "x1"};
  s.report_x0_is_memory = s.report_x1_is_queued_tokens = chance(0.7);
  SchedulerFixture fixture(s, seed);
  Checker checker{s, {}, {}, {}};
  std::vector<Endpoint> hosts;
  for (EndpointId id = 1; id <= 9; ++id)
    hosts.push_back(host(id, static_cast<std::uint8_t>(below(3)), static_cast<std::uint16_t>(below(2)), 0));
  const auto deliver = [&](const Event& event) { checker.check(fixture.now, fixture.handle(event)); };
  const auto tell = [&](EndpointListKind kind) {
    for (auto& h : hosts)
      checker.listed[h.id] = h;
    deliver(EndpointListUpdate{kind, 1, hosts});
  };
  tell(EndpointListKind::from_cache);
  const float odd[] = {0.f, -5.f, 1e30f, std::numeric_limits<float>::quiet_NaN(),
                       std::numeric_limits<float>::infinity()};
  struct Pending {
    RequestId id;
    std::uint16_t attempt;
  };
  for (int step = 0; step < 3000; ++step) {
    fixture.now += Micros(below(20000));
    if (chance(0.02)) {  // the list changes
      auto& h = hosts[below(hosts.size())];
      h.state = chance(0.5) ? EndpointState::ready : EndpointState::draining;
      if (chance(0.3))
        h.started_at = fixture.now;
      tell(chance(0.5) ? EndpointListKind::full : EndpointListKind::incremental);
    }
    if (chance(0.02))
      deliver(EndpointListUpdate{EndpointListKind::fetch_failed, 0, {}});
    if (chance(0.3)) {
      Request r = fixture.request(static_cast<float>(below(9000)), static_cast<std::uint16_t>(below(3)),
                                  1 + below(20), below(4), 1000);
      r.time_budget = Micros(chance(0.05) ? 0 : 500000 + below(5000000));
      if (chance(0.05))
        r.prompt_tokens = odd[below(5)];
      if (chance(0.05))
        r.shared_prefix_tokens = odd[below(5)];
      checker.reqs[r.id] = {r, fixture.now + r.time_budget, true, false, false, {}, {}};
      deliver(r);
    }
    std::vector<Pending> pending;
    for (auto& [id, q] : checker.reqs)
      for (std::size_t i = 0; i < q.tries.size(); ++i)
        if (q.tries[i].out)
          pending.push_back({id, static_cast<std::uint16_t>(i)});
    for (const auto& p : pending) {
      auto& q = checker.reqs.at(p.id);
      auto& t = q.tries[p.attempt];
      const bool due = fixture.now >= q.deadline;
      const auto cancel =
          std::find(checker.cancelled.begin(), checker.cancelled.end(), std::pair(p.id, p.attempt));
      if (!due && cancel == checker.cancelled.end() && !chance(0.05))
        continue;
      static const Outcome any[] = {Outcome::error, Outcome::rejected_over_capacity, Outcome::timeout,
                                    Outcome::connect_failed, Outcome::reset};
      Outcome outcome = any[below(5)];
      if (t.role == Role::prefill ? chance(0.7) : false)
        outcome = Outcome::prefill_done;
      if (t.role != Role::prefill && chance(0.6))
        outcome = Outcome::ok;
      if (due)
        outcome = Outcome::timeout;
      if (cancel != checker.cancelled.end())
        outcome = Outcome::cancelled;
      const bool started = outcome == Outcome::ok && q.live && !q.answered && chance(0.5);
      if (started) {
        q.deadline = Micros::max();
        deliver(FirstTokenReceived{p.id, t.host, p.attempt, fixture.now - t.sent});
      }
      auto& again = checker.reqs.at(p.id).tries[p.attempt];
      again.out = false;
      again.may_have_run = outcome == Outcome::error || outcome == Outcome::timeout ||
                           outcome == Outcome::reset || outcome == Outcome::cancelled;
      if (outcome == Outcome::ok)
        q.live = false;
      if (outcome == Outcome::prefill_done) {
        q.held = true;
        q.free_since = fixture.now;
      }
      if (again.role != Role::prefill && outcome == Outcome::ok)
        q.held = false;
      if (q.held)
        q.free_since = fixture.now;
      deliver(AttemptCompleted{p.id, outcome, !q.live || q.answered, fixture.now - again.sent, again.host,
                               static_cast<std::uint32_t>(below(3)), p.attempt,
                               chance(0.2) ? std::vector<float>{} : std::vector<float>{odd[below(5)], 0.4f}});
    }
    if (chance(0.01) && !checker.reqs.empty()) {
      auto& q = std::next(checker.reqs.begin(), static_cast<long>(below(checker.reqs.size())))->second;
      if (q.live && !q.answered) {
        q.live = false;
        deliver(ClientDisconnected{q.r.id});
      }
    }
    if (chance(0.05))
      deliver(AttemptCompleted{1000000 + below(50), Outcome::ok, true, 1s, 1, 0, 0, {}});  // never held
    if (chance(0.05))
      deliver(TimerFired{static_cast<std::uint32_t>(random())});
    auto due = fixture.timers;
    fixture.timers.clear();
    for (const auto& alarm : due) {
      if (alarm.first <= fixture.now)
        deliver(TimerFired{alarm.second});
      else
        fixture.timers.push_back(alarm);
    }
    if (::testing::Test::HasFailure())
      return;
  }
}

TEST(Rules, HoldUnderRandomSequences) {
  for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed)
    random_day(seed);
}

}  // namespace
}  // namespace lemonroute::test
