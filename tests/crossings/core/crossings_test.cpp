// Two events that cross in the core, each order forced on a clock of the test's. Held state: held_test.cpp.
#include "crossings/core/crossing_bed.h"

namespace lemonroute::test {
namespace {

// ---- client gone x ... ----

TEST_F(Crossing, ClientGoneAndConnectionUp) {
  for (const bool cancels : {true, false})
    for (const bool gone_first : {true, false}) {
      Settings with = limits();
      with.cancellation_allowed = cancels;
      start(with);
      nodes.unsent = gone_first;
      core->client_disconnected(id);
      EXPECT_EQ(nodes.begun[0].open, !gone_first && !cancels);
      if (nodes.begun[0].open)
        done(Outcome::prefill_done);  // what it has read is let go of at once
      EXPECT_EQ(nodes.released.size(), gone_first ? 0u : 1u);
      expect_quiet(1, 0);
    }
}

TEST_F(Crossing, ClientGoneAndReadDone) {
  for (const bool gone_first : {true, false}) {
    Settings with = limits();
    with.cancellation_allowed = false;
    start(with);
    if (gone_first)
      core->client_disconnected(id);
    done(Outcome::prefill_done);
    if (!gone_first) {
      nodes.unsent = true;
      core->client_disconnected(id);
    }
    EXPECT_EQ(open(), 0u);
    ASSERT_EQ(nodes.released.size(), 1u);
    EXPECT_EQ(nodes.released[0].first, nodes.begun[0].host);
    expect_quiet(gone_first ? 1 : 2, 0);
  }
}

TEST_F(Crossing, ClientGoneAndRetryTimer) {
  for (const bool gone_first : {true, false}) {
    start(limits());
    // The read becomes overdue some time; the attempt after it is begun in the same moment.
    if (gone_first)
      core->client_disconnected(id);
    for (int i = 0; i < 50 && nodes.begun.size() < 2; ++i)
      pass(100ms);
    ASSERT_EQ(nodes.begun.size(), gone_first ? 1u : 2u);
    if (!gone_first)
      core->client_disconnected(id);
    EXPECT_EQ(open(), 0u);
    expect_quiet(gone_first ? 1 : 2, 0);
  }
}

TEST_F(Crossing, ClientGoneAndLastByteOfTheAnswer) {
  for (const bool gone_first : {true, false}) {
    start(limits());
    done(Outcome::prefill_done);
    nodes.begun.back().attempt->on_data("a");
    if (gone_first)
      core->client_disconnected(id);
    else
      done(Outcome::ok);
    core->client_disconnected(id);  // the close that follows the answer
    EXPECT_EQ(client.seen, gone_first ? "a" : "a|end");
    EXPECT_TRUE(core->idle());
    expect_quiet(2, gone_first ? 0 : 1);
  }
}

// ---- retry x ... ----

// The terms are those with which the request was taken, whichever comes first.
TEST_F(Crossing, RetryAndAShorterWindow) {
  for (const bool settings_first : {true, false}) {
    start(limits(Idempotency::idempotent_with_key, 1s));
    done(Outcome::prefill_done);
    pass(300ms);
    if (settings_first)
      retune(limits(Idempotency::idempotent_with_key, 200ms));
    done(Outcome::error);
    if (!settings_first)
      retune(limits(Idempotency::idempotent_with_key, 200ms));
    ASSERT_EQ(nodes.begun.size(), 3u);
    EXPECT_EQ(open(), 1u);
  }
  // One that is taken later has the new ones.
  start(limits(Idempotency::idempotent_with_key, 1s));
  core->client_disconnected(id);
  retune(limits(Idempotency::idempotent_with_key, 200ms));
  take("later");
  done(Outcome::prefill_done);
  pass(300ms);
  const std::size_t begun = nodes.begun.size();
  done(Outcome::error);
  EXPECT_EQ(client.answers, 1);
  EXPECT_EQ(nodes.begun.size(), begun);
}

TEST_F(Crossing, RetryAndAnotherEffect) {
  for (const bool settings_first : {true, false})
    for (const bool becomes_safe : {true, false}) {
      start(limits(becomes_safe ? Idempotency::not_idempotent : Idempotency::idempotent));
      const Settings later = limits(becomes_safe ? Idempotency::idempotent : Idempotency::not_idempotent);
      done(Outcome::prefill_done);
      if (settings_first)
        retune(later);
      done(Outcome::error);  // it may have run
      if (!settings_first)
        retune(later);
      EXPECT_EQ(nodes.begun.size(), becomes_safe ? 2u : 3u);
      EXPECT_EQ(client.answers, becomes_safe ? 1 : 0);
    }
}

TEST_F(Crossing, RetryAndDeadline) {
  for (const bool deadline_first : {true, false}) {
    start(limits());
    done(Outcome::prefill_done);
    const std::size_t begun = nodes.begun.size();
    clock.at += 6s - (deadline_first ? 0us : 1us);
    if (deadline_first)
      core->run_timers();
    else
      done(Outcome::error);
    EXPECT_LE(nodes.begun.size(), begun + 1);
    if (!deadline_first)
      pass(1us);
    EXPECT_EQ(client.answers, 1);
    EXPECT_EQ(open(), 0u);
    EXPECT_FALSE(nodes.released.empty());
    expect_quiet(nodes.begun.size(), 1);
  }
}

TEST_F(Crossing, RetryAndNodeLeaving) {
  for (const bool list_first : {true, false}) {
    start(limits(), {"r", "w", "w2"});
    done(Outcome::prefill_done);
    const std::string first = at(), other = first == "w" ? "w2" : "w";
    if (list_first)
      core->update_endpoints(EndpointListKind::incremental, 2, {Bed::node(other, EndpointState::draining)});
    nodes.unsent = true;
    done(Outcome::error);
    if (list_first) {
      for (std::size_t i = 2; i < nodes.begun.size(); ++i)
        EXPECT_NE(core->endpoint_name(nodes.begun[i].host), other);
      continue;
    }
    ASSERT_EQ(nodes.begun.size(), 3u);
    ASSERT_EQ(at(), other);
    core->update_endpoints(EndpointListKind::incremental, 2, {Bed::node(other, EndpointState::draining)});
    pass(249ms);
    EXPECT_TRUE(nodes.begun[2].open);
    pass(1ms);
    EXPECT_FALSE(nodes.begun[2].open);  // half of the grace is left to the wire
  }
}

// Its node starts anew at the same address while the state waits there: it is gone with the old process.
TEST_F(Crossing, RetryAndNodeRestarted) {
  for (const bool list_first : {true, false}) {
    start(limits(), {"r", "w", "w2"});
    done(Outcome::prefill_done);
    auto again = Bed::node("r");
    again.started_at = clock.at + 600ms;  // beyond any doubt about the clocks
    clock.at += 610ms;
    if (list_first)
      core->update_endpoints(EndpointListKind::incremental, 2, {again});
    done(Outcome::rejected_over_capacity, 1);  // the decode node finds no state, and the prompt is read anew
    if (!list_first)
      core->update_endpoints(EndpointListKind::incremental, 2, {again});
    EXPECT_EQ(nodes.released.size(), list_first ? 0u : 1u);
    ASSERT_EQ(nodes.begun.size(), 3u);
    EXPECT_EQ(at(), "r");
    EXPECT_EQ(client.answers, 0);
  }
}

// ---- the process ends, or another one goes on ----

TEST_F(Crossing, EndOfWaitsAndAnAttempt) {
  enum class Stage { connecting, sent, streaming };
  for (const Stage stage : {Stage::connecting, Stage::sent, Stage::streaming})
    for (const bool end_first : {true, false}) {
      start(limits(), {"r", "w"});
      done(Outcome::prefill_done);
      const auto reach = [&] {
        nodes.unsent = stage == Stage::connecting;
        if (stage == Stage::streaming)
          nodes.begun.back().attempt->on_data("a");
      };
      if (!end_first)
        reach();
      core->set_shutdown_deadline(clock.at + 300ms);
      if (end_first)
        reach();
      pass(300ms);
      EXPECT_EQ(client.answers, stage == Stage::streaming ? 0 : 1);
      EXPECT_EQ(open(), stage == Stage::streaming ? 1u : 0u);
      EXPECT_EQ(nodes.released.size(), stage == Stage::streaming ? 0u : 1u);
      // Nobody takes the release: it does not outlast the process.
      pass(300ms), pass(300ms);
      EXPECT_EQ(core->idle(), stage != Stage::streaming);
    }
}

TEST_F(Crossing, AdoptedStreamAndItsEnds) {
  for (const bool gone_first : {true, false}) {
    start(limits(), {"r", "w"});
    core->client_disconnected(id);
    const std::size_t begun = nodes.begun.size();
    TestClient given;
    RequestId adopted = 0;
    ASSERT_TRUE(core->adopt_stream({"s", "k", "w", 1, {}, {}}, given, adopted));
    RequestId again = 0;
    EXPECT_FALSE(core->adopt_stream({"s", "k", "w", 1, {}, {}}, given, again));  // open here by now
    core->set_shutdown_deadline(clock.at + 100ms);
    pass(200ms);
    EXPECT_TRUE(nodes.begun.back().open);  // a stream is left alone
    if (gone_first)
      core->client_disconnected(adopted);
    else
      done(Outcome::ok);
    core->client_disconnected(adopted);
    EXPECT_EQ(given.answers, gone_first ? 0 : 1);
    EXPECT_EQ(open(), 0u);
    EXPECT_EQ(nodes.begun.size(), begun + 1);
  }
}

// ---- what a node is told of the time ----

TEST_F(Crossing, NoAttemptIsToldMoreThanTheClientHasLeft) {
  start(limits());
  const Micros deadline = clock.at + 6s;
  for (std::size_t seen = 0; client.answers == 0;) {
    for (; seen < nodes.told.size(); ++seen)
      EXPECT_LE(clock.at + nodes.told[seen], deadline) << "attempt " << seen;
    clock.at += 700ms;
    done(Outcome::error);
  }
  EXPECT_GE(nodes.told.size(), 2u);
}

}  // namespace
}  // namespace lemonroute::test
