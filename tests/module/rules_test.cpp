// The five rules of the platform: each by itself, then under random event sequences with fixed seeds. The
// sequences are legal but do not simulate nodes, and the checker tests the rules alone.
#include <algorithm>
#include <limits>
#include <map>
#include <random>

#include "support.h"

namespace lemonroute::test {
namespace {

// ---- Each rule by itself ----

TEST(SingleAnswerRule, RejectsAtOnceWithoutUsableNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints({});
  EXPECT_NE(SchedulerFixture::find_action<RejectRequest>(fixture.handle(fixture.make_request(4000, 0))),
            nullptr);
  EXPECT_NE(SchedulerFixture::find_action<RejectRequest>(
                fixture.handle(fixture.make_request(4000, not_idempotent_class))),
            nullptr)
      << "a request that is not idempotent may be rejected too: nothing has run";
}

TEST(SingleAnswerRule, FailsOnceWhenAttemptTimesOutAtDeadline) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  fixture.handle(r);
  fixture.now += 6s;
  const auto actions = fixture.complete_attempt(r.id, 0, 1, Outcome::timeout, 6s);
  EXPECT_NE(SchedulerFixture::find_action<FailRequest>(actions), nullptr);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_EQ(SchedulerFixture::find_action<FailRequest>(fixture.handle(ClientDisconnected{r.id})), nullptr);
}

TEST(SingleAnswerRule, SendsNothingAfterClientDisconnects) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
  fixture.handle(ClientDisconnected{r.id});
  const auto actions = fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_NE(SchedulerFixture::find_action<ReleaseReservation>(actions), nullptr)
      << "the KV cache must be released";
}

TEST(IdempotencyRule, FailsNonIdempotentRequestThatMayHaveRun) {
  for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timeout, Outcome::cancelled}) {
    SchedulerFixture fixture;
    fixture.update_endpoints(
        {make_endpoint(1, prefill_kind), make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
    const Request r = fixture.make_request(4000, not_idempotent_class);
    fixture.handle(r);
    const EndpointId decode_node =
        fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done));
    const auto actions = fixture.complete_attempt(r.id, 1, decode_node, outcome);
    EXPECT_EQ(fixture.sent_to(actions), 0u);
    EXPECT_EQ(SchedulerFixture::find_action<RejectRequest>(actions), nullptr);
    EXPECT_NE(SchedulerFixture::find_action<FailRequest>(actions), nullptr);
    EXPECT_NE(SchedulerFixture::find_action<ReleaseReservation>(actions), nullptr);
  }
}

TEST(IdempotencyRule, SendsNonIdempotentRequestThatDidNotRunToAnotherNode) {
  for (const Outcome outcome : {Outcome::rejected_over_capacity, Outcome::connect_failed}) {
    SchedulerFixture fixture;
    fixture.update_endpoints(
        {make_endpoint(1, prefill_kind), make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
    const Request r = fixture.make_request(4000, not_idempotent_class);
    fixture.handle(r);
    const EndpointId decode_node =
        fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done));
    const EndpointId next_node = fixture.sent_to(fixture.complete_attempt(r.id, 1, decode_node, outcome));
    EXPECT_NE(next_node, 0u);
    EXPECT_NE(next_node, decode_node);
  }
}

TEST(IdempotencyRule, RepeatsFailedPrefillOfNonIdempotentRequest) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request(4000, not_idempotent_class);
  const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
  const EndpointId next_node =
      fixture.sent_to(fixture.complete_attempt(r.id, 0, prefill_node, Outcome::reset));
  EXPECT_NE(next_node, 0u);
  EXPECT_NE(next_node, prefill_node);
}

TEST(IdempotencyRule, RepeatsRequestWithKeyOnlyWithinCellAndRetryWindow) {
  for (const bool in_time : {true, false}) {
    SchedulerFixture fixture;
    fixture.update_endpoints({make_endpoint(1, prefill_kind, 1), make_endpoint(7, decode_kind, 1),
                              make_endpoint(8, decode_kind, 1), make_endpoint(9, decode_kind, 2)});
    const Request r = fixture.make_request(4000, idempotent_with_key_class);
    fixture.handle(r);
    const EndpointId decode_node =
        fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done));
    ASSERT_TRUE(decode_node == 7 || decode_node == 8);
    fixture.now += in_time ? 1s : 3s;
    const auto actions = fixture.complete_attempt(r.id, 1, decode_node, Outcome::error);
    if (in_time) {
      EXPECT_EQ(fixture.sent_to(actions), 15 - decode_node) << "the other decode node of the cell";
    } else {
      EXPECT_EQ(fixture.sent_to(actions), 0u) << "the retry window is over";
      EXPECT_NE(SchedulerFixture::find_action<FailRequest>(actions), nullptr);
    }
  }
}

TEST(DrainRule, SendsNothingToDrainingOrUnlistedNodes) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind), make_endpoint(9, decode_kind)});
  auto draining = make_endpoint(1, prefill_kind);
  draining.state = EndpointState::draining;
  fixture.update_endpoints({draining}, EndpointListKind::incremental);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(fixture.serve(fixture.make_request()), 2u);
  fixture.update_endpoints({make_endpoint(1, prefill_kind),
                            make_endpoint(9, decode_kind)});  // a full list without node 2 removes it
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(fixture.serve(fixture.make_request()), 1u);
}

TEST(SlowStartRule, LimitsNewNodeToItsBudgetUntilItIsWarm) {
  Settings s = settings();
  s.router_count = 3;
  SchedulerFixture fixture(s);
  const auto serve_requests = [&](int count) {
    int sent_to_new_node = 0;
    for (int i = 0; i < count; ++i) {
      const Request r = fixture.make_request();
      const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
      fixture.now += 60ms;
      sent_to_new_node += prefill_node == 2;
      const EndpointId decode_node =
          fixture.sent_to(fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done, 50ms));
      fixture.receive_first_token(r.id, 1, decode_node);
      fixture.complete_attempt(r.id, 1, decode_node, Outcome::ok, 200ms, 0, true);
    }
    return sent_to_new_node;
  };
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  serve_requests(200);
  auto new_node = make_endpoint(2, prefill_kind);
  new_node.started_at = fixture.now;
  fixture.update_endpoints({new_node}, EndpointListKind::incremental);
  const int first_window = serve_requests(50);  // three seconds; each warm node gets 25 requests
  EXPECT_GE(first_window, 1) << "without requests the node cannot warm up";
  EXPECT_LE(first_window, 25 * 2.5 * 0.25) << "the whole budget, where all routers send the same";
  serve_requests(250);
  EXPECT_GT(serve_requests(60), 10) << "a warm node takes its share";
}

TEST(ReservationRule, ReleasesKvCacheAtOnceWithoutDecodeNode) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  fixture.handle(r);
  auto draining = make_endpoint(9, decode_kind);
  draining.state = EndpointState::draining;
  fixture.update_endpoints({draining}, EndpointListKind::incremental);
  const auto actions = fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done);
  EXPECT_EQ(fixture.sent_to(actions), 0u);
  EXPECT_NE(SchedulerFixture::find_action<RejectRequest>(actions), nullptr);
  EXPECT_NE(SchedulerFixture::find_action<ReleaseReservation>(actions), nullptr);
}

TEST(ReservationRule, KeepsKvCacheForAnotherDecodeNodeAfterFailedConnection) {
  SchedulerFixture fixture;
  fixture.update_endpoints(
      {make_endpoint(1, prefill_kind), make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
  const Request r = fixture.make_request();
  fixture.handle(r);
  EndpointId decode_node = fixture.sent_to(fixture.complete_attempt(r.id, 0, 1, Outcome::prefill_done));
  const auto actions = fixture.complete_attempt(r.id, 1, decode_node, Outcome::connect_failed);
  EXPECT_EQ(fixture.sent_to(actions), 17 - decode_node);
  EXPECT_EQ(SchedulerFixture::find_action<ReleaseReservation>(actions), nullptr);
}

// ---- All rules under random event sequences ----

// Follows events and actions, and expects that each action keeps the rules.
struct Checker {
  const Settings& settings;
  struct SentAttempt {
    EndpointId endpoint;
    Micros sent_at;
    bool outstanding = true, may_have_run = false;
    Role role;  // of the node
  };
  struct OpenRequest {
    Request request;
    Micros deadline;
    // `is_open`: no attempt has ended with Outcome::ok and the client has not left. `answered`: the Scheduler
    // has rejected or failed the request.
    bool is_open = true, answered = false, has_reservation = false;
    Micros reservation_idle_since{};  // valid while has_reservation and no attempt is outstanding
    std::vector<SentAttempt> attempts;
  };
  std::map<RequestId, OpenRequest> requests;
  std::map<EndpointId, Endpoint> listed;
  std::vector<std::pair<RequestId, std::uint16_t>> cancelled;  // request and attempt

  bool has_outstanding_attempt(const OpenRequest& open) const {
    return std::any_of(open.attempts.begin(), open.attempts.end(),
                       [](auto& attempt) { return attempt.outstanding; });
  }
  // Whether the attempt restricts retries: it may have run or may still run, and its request is not
  // idempotent.
  bool restricts_retry(const OpenRequest& open, const SentAttempt& attempt) const {
    return attempt.role != Role::prefill && (attempt.may_have_run || attempt.outstanding) &&
           settings.classes[open.request.class_index].idempotency != Idempotency::idempotent;
  }

  void check(Micros now, const std::vector<Action>& actions) {
    for (const auto& action : actions) {
      if (const auto* a = std::get_if<Send>(&action))
        check_send(now, *a);
      if (const auto* a = std::get_if<RejectRequest>(&action))
        check_answer(a->id, true);
      if (const auto* a = std::get_if<FailRequest>(&action))
        check_answer(a->id, false);
      if (const auto* a = std::get_if<ReleaseReservation>(&action))
        requests.at(a->id).has_reservation = false;
      if (const auto* a = std::get_if<CancelAttempt>(&action)) {
        ASSERT_LT(a->attempt, requests.at(a->id).attempts.size());
        cancelled.emplace_back(a->id, a->attempt);
      }
    }
    for (const auto& [id, open] : requests) {
      EXPECT_FALSE(open.has_reservation && !has_outstanding_attempt(open) &&
                   now - open.reservation_idle_since > settings.reservation_release_timeout)
          << "reservation not released: request " << id;
      EXPECT_FALSE(open.is_open && !open.answered && !has_outstanding_attempt(open) && now > open.deadline)
          << "unanswered: request " << id;
    }
  }
  void check_send(Micros now, const Send& send) {
    auto& open = requests.at(send.id);
    EXPECT_TRUE(open.is_open && !open.answered) << "sent after its end: request " << send.id;
    ASSERT_TRUE(listed.count(send.endpoint)) << "endpoint was never listed";
    EXPECT_EQ(listed.at(send.endpoint).state, EndpointState::ready);
    const Role role = settings.role_by_kind[listed.at(send.endpoint).kind];
    EXPECT_LT(open.attempts.size(), settings.max_attempts);
    const auto idempotency = settings.classes[open.request.class_index].idempotency;
    if (has_outstanding_attempt(open)) {
      EXPECT_TRUE(settings.hedging_allowed && idempotency == Idempotency::idempotent);
    }
    for (const auto& attempt : open.attempts)
      if (role != Role::prefill && restricts_retry(open, attempt)) {
        EXPECT_NE(idempotency, Idempotency::not_idempotent) << "a request that is not idempotent sent twice";
        EXPECT_EQ(listed.at(attempt.endpoint).cell, listed.at(send.endpoint).cell);
        EXPECT_LT(now - attempt.sent_at, settings.classes[open.request.class_index].retry_window);
      }
    open.attempts.push_back({send.endpoint, now, true, false, role});
  }
  void check_answer(RequestId id, bool rejected) {
    auto& open = requests.at(id);
    EXPECT_TRUE(open.is_open && !open.answered) << "answered twice: request " << id;
    open.answered = true;
    if (rejected)
      for (const auto& attempt : open.attempts) {
        EXPECT_FALSE(restricts_retry(open, attempt)) << "rejected though it may have run";
        EXPECT_FALSE(settings.classes[open.request.class_index].idempotency == Idempotency::not_idempotent &&
                     attempt.outstanding);
      }
  }
};

// Passes 3000 steps of random events to a Scheduler and checks every action.
void run_random_sequence(std::uint64_t seed) {
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
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 1; id <= 9; ++id)
    endpoints.push_back(
        make_endpoint(id, static_cast<std::uint8_t>(below(3)), static_cast<std::uint16_t>(below(2)), 0));
  const auto deliver = [&](const Event& event) { checker.check(fixture.now, fixture.handle(event)); };
  const auto send_endpoint_list = [&](EndpointListKind kind) {
    for (auto& endpoint : endpoints)
      checker.listed[endpoint.id] = endpoint;
    deliver(EndpointListUpdate{kind, 1, endpoints});
  };
  send_endpoint_list(EndpointListKind::from_cache);
  const float extreme_values[] = {0.f, -5.f, 1e30f, std::numeric_limits<float>::quiet_NaN(),
                                  std::numeric_limits<float>::infinity()};
  struct Pending {
    RequestId id;
    std::uint16_t attempt;
  };
  for (int step = 0; step < 3000; ++step) {
    fixture.now += Micros(below(20000));
    if (chance(0.02)) {  // the endpoint list changes
      auto& endpoint = endpoints[below(endpoints.size())];
      endpoint.state = chance(0.5) ? EndpointState::ready : EndpointState::draining;
      if (chance(0.3))
        endpoint.started_at = fixture.now;
      send_endpoint_list(chance(0.5) ? EndpointListKind::full : EndpointListKind::incremental);
    }
    if (chance(0.02))
      deliver(EndpointListUpdate{EndpointListKind::fetch_failed, 0, {}});
    if (chance(0.3)) {
      Request r = fixture.make_request(static_cast<float>(below(9000)), static_cast<std::uint16_t>(below(3)),
                                       1 + below(20), below(4), 1000);
      r.time_budget = Micros(chance(0.05) ? 0 : 500000 + below(5000000));
      if (chance(0.05))
        r.prompt_tokens = extreme_values[below(5)];
      if (chance(0.05))
        r.shared_prefix_tokens = extreme_values[below(5)];
      checker.requests[r.id] = {r, fixture.now + r.time_budget, true, false, false, {}, {}};
      deliver(r);
    }
    std::vector<Pending> pending;
    for (auto& [id, open] : checker.requests)
      for (std::size_t i = 0; i < open.attempts.size(); ++i)
        if (open.attempts[i].outstanding)
          pending.push_back({id, static_cast<std::uint16_t>(i)});
    for (const auto& ref : pending) {
      auto& open = checker.requests.at(ref.id);
      auto& attempt = open.attempts[ref.attempt];
      const bool is_past_deadline = fixture.now >= open.deadline;
      const auto cancel =
          std::find(checker.cancelled.begin(), checker.cancelled.end(), std::pair(ref.id, ref.attempt));
      if (!is_past_deadline && cancel == checker.cancelled.end() && !chance(0.05))
        continue;
      static const Outcome failures[] = {Outcome::error, Outcome::rejected_over_capacity, Outcome::timeout,
                                         Outcome::connect_failed, Outcome::reset};
      Outcome outcome = failures[below(5)];
      if (attempt.role == Role::prefill ? chance(0.7) : false)
        outcome = Outcome::prefill_done;
      if (attempt.role != Role::prefill && chance(0.6))
        outcome = Outcome::ok;
      if (is_past_deadline)
        outcome = Outcome::timeout;
      if (cancel != checker.cancelled.end())
        outcome = Outcome::cancelled;
      const bool started = outcome == Outcome::ok && open.is_open && !open.answered && chance(0.5);
      if (started) {
        open.deadline = Micros::max();
        deliver(FirstTokenReceived{ref.id, attempt.endpoint, ref.attempt, fixture.now - attempt.sent_at});
      }
      auto& ended = checker.requests.at(ref.id).attempts[ref.attempt];
      ended.outstanding = false;
      ended.may_have_run = outcome == Outcome::error || outcome == Outcome::timeout ||
                           outcome == Outcome::reset || outcome == Outcome::cancelled;
      if (outcome == Outcome::ok)
        open.is_open = false;
      if (outcome == Outcome::prefill_done) {
        open.has_reservation = true;
        open.reservation_idle_since = fixture.now;
      }
      if (ended.role != Role::prefill && outcome == Outcome::ok)
        open.has_reservation = false;
      if (open.has_reservation)
        open.reservation_idle_since = fixture.now;
      deliver(AttemptCompleted{
          ref.id, outcome, !open.is_open || open.answered, fixture.now - ended.sent_at, ended.endpoint,
          static_cast<std::uint32_t>(below(3)), ref.attempt,
          chance(0.2) ? std::vector<float>{} : std::vector<float>{extreme_values[below(5)], 0.4f}});
    }
    if (chance(0.01) && !checker.requests.empty()) {
      auto& open =
          std::next(checker.requests.begin(), static_cast<long>(below(checker.requests.size())))->second;
      if (open.is_open && !open.answered) {
        open.is_open = false;
        deliver(ClientDisconnected{open.request.id});
      }
    }
    if (chance(0.05))
      deliver(
          AttemptCompleted{1000000 + below(50), Outcome::ok, true, 1s, 1, 0, 0, {}});  // an unknown request
    if (chance(0.05))
      deliver(TimerFired{static_cast<std::uint32_t>(random())});
    auto timers = fixture.timers;
    fixture.timers.clear();
    for (const auto& timer : timers) {
      if (timer.first <= fixture.now)
        deliver(TimerFired{timer.second});
      else
        fixture.timers.push_back(timer);
    }
    if (::testing::Test::HasFailure())
      return;
  }
}

TEST(PlatformRules, HoldUnderRandomEventSequences) {
  for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed)
    run_random_sequence(seed);
}

}  // namespace
}  // namespace lemonroute::test
