// Held state from its grant to its end (rule 5): releases that are lost, overtaken by a retry, or ordered
// while the holder hangs, has vanished or was started anew.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "base/log.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

constexpr Micros tolerance = 300ms;  // of the rule's time, for the way of the call
constexpr Micros step = 5ms;         // by which the clock is moved

struct Held : ::testing::Test {
  Held() { logging::set_level(logging::Level::error); }
  static Settings limits(Micros release_within) {
    Settings s = settings();
    s.reservation_release_timeout = release_within;
    return s;
  }
  // What is asked of node `name` fails to answer; the others answer at once.
  void silence(Bed& bed, std::vector<std::string> names) {
    for (const auto& name : names)
      silent.insert(name);
    answer(bed);
  }
  // Each call answered that a living node was asked with since the last look.
  void answer(Bed& bed) {
    for (; looked < bed.nodes.released.size(); ++looked) {
      const auto [host, done] = bed.nodes.released[looked];
      asked.push_back(bed.core.endpoint_name(host));
      if (silent.count(asked.back()))
        continue;
      answered.insert(asked.back());
      const auto told = done;
      told(true);
    }
  }
  void pass(Bed& bed, Micros span) {
    for (Micros passed{}; passed < span; passed += step) {
      bed.pass(step);
      answer(bed);
    }
  }
  std::string at(const Bed& bed) const { return bed.core.endpoint_name(bed.nodes.begun.back().host); }

  std::set<std::string> silent, answered;
  std::vector<std::string> asked;
  std::size_t looked = 0;
};

const std::vector<std::string> ten{"r1", "r2", "r3", "r4", "r5", "w1", "w2", "w3", "w4", "w5"};

// Four in five of each role fall silent in the moment in which the state is left, and nothing is known of
// any.
TEST_F(Held, IsLetGoOfInTimeWhereFourInFiveOfBothRolesFallSilentTogether) {
  for (const Micros within : {500ms, 1000ms})
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
      silent.clear(), answered.clear(), asked.clear(), looked = 0;
      Bed bed(ten, limits(within));
      bed.next_id = id;
      bed.take();
      const std::string holder = at(bed);
      bed.done(Outcome::prefill_done);
      const std::set<std::string> living{holder == "r5" ? "r4" : "r5", "w5"};
      for (const auto& name : ten)
        if (!living.count(name))
          silent.insert(name);
      bed.core.client_disconnected(bed.id);
      answer(bed);
      pass(bed, within + tolerance);
      EXPECT_FALSE(answered.empty()) << id << " within " << within.count() << " us";
      EXPECT_TRUE(bed.core.idle());
      EXPECT_LE(asked.size(), 12u) << "calls for one state";
    }
}

// A node that has answered lately is asked before the silent ones, though the holder is lost.
TEST_F(Held, ANodeHeardFromLatelyIsAskedSecond) {
  Bed bed(ten, limits(500ms));
  bed.nodes.many = true;
  bed.take();
  bed.done(Outcome::prefill_done);
  const auto waits = bed.nodes.begun.size() - 1;
  const RequestId left = bed.id;
  bed.next_id = "other";
  bed.take();
  bed.done(Outcome::prefill_done);
  const std::string streams = at(bed);
  bed.pass(2s);
  bed.nodes.begun.back().attempt->on_data("a");
  ASSERT_TRUE(bed.nodes.begun[waits].open);
  bed.nodes.released
      .clear();  // those that were made while it could not be known whether the decodes had arrived
  bed.core.client_disconnected(left);
  bed.pass(100ms);
  ASSERT_EQ(bed.nodes.released.size(), 2u);
  EXPECT_EQ(bed.core.endpoint_name(bed.nodes.released[1].first), streams);
}

// A read that hangs may end well once its node goes on, long after another node has taken the release. So the
// node itself is asked until it has answered.
TEST_F(Held, AHolderThatHungIsAskedUntilItAnswers) {
  Bed bed({"r", "w", "w2"}, limits(500ms));
  bed.take();
  silence(bed, {"r"});
  pass(bed, 6s);  // the client's time is over
  ASSERT_EQ(bed.client.answers, 1);
  pass(bed, 5s);
  EXPECT_FALSE(answered.empty());
  EXPECT_FALSE(bed.core.idle());
  asked.clear();
  pass(bed, 2s);
  EXPECT_EQ(std::count(asked.begin(), asked.end(), "r"), static_cast<std::ptrdiff_t>(asked.size()));
  EXPECT_LE(asked.size(), 9u);  // four times a second
  silent.clear();
  pass(bed, 500ms + tolerance);
  EXPECT_TRUE(answered.count("r"));
  EXPECT_TRUE(bed.core.idle());
}

// One that is known to run a new process holds nothing of before, whichever comes first: the list or the
// other node's answer.
TEST_F(Held, AHolderThatWasStartedAnewIsNotAskedAnyMore) {
  for (const bool list_first : {true, false}) {
    silent.clear(), answered.clear(), asked.clear(), looked = 0;
    Bed bed({"r", "w"}, limits(500ms));
    bed.take();
    silence(bed, list_first ? std::vector<std::string>{"r", "w"} : std::vector<std::string>{"r"});
    pass(bed, 6s + 600ms);
    EXPECT_EQ(answered.empty(), list_first);
    EXPECT_FALSE(bed.core.idle());
    auto restarted = Bed::node("r");
    // A start so soon after the end of the read may have come before it, by another clock.
    restarted.started_at = bed.clock.at - 400ms;
    bed.core.update_endpoints(EndpointListKind::incremental, 2, {restarted});
    pass(bed, 100ms);
    EXPECT_FALSE(bed.core.idle());
    restarted.started_at = bed.clock.at;
    bed.core.update_endpoints(EndpointListKind::incremental, 3, {restarted});
    pass(bed, 1s);
    EXPECT_TRUE(bed.core.idle());
  }
}

// A list may tell late of a start that came before the read: the state is the new process's.
TEST_F(Held, AStartBeforeTheReadDoesNotEndTheRelease) {
  Bed bed({"r", "w"}, limits(500ms));
  const Micros start = bed.clock.at - 200ms;
  bed.take();
  bed.done(Outcome::prefill_done);
  silence(bed, {"r", "w"});
  bed.core.client_disconnected(bed.id);
  answer(bed);
  auto restarted = Bed::node("r");
  restarted.started_at = start;
  bed.core.update_endpoints(EndpointListKind::incremental, 2, {restarted});
  pass(bed, 1s);
  EXPECT_FALSE(bed.core.idle());
  silent.clear();
  pass(bed, 500ms);
  EXPECT_TRUE(bed.core.idle());
}

// A network cut of ten seconds swallows every call: the state is let go of once it is over.
TEST_F(Held, ALongNetworkCutIsOutlasted) {
  Bed bed({"r", "w"}, limits(500ms));
  bed.take();
  bed.done(Outcome::prefill_done);
  silence(bed, {"r", "w"});
  bed.core.client_disconnected(bed.id);
  pass(bed, 10s);
  EXPECT_FALSE(bed.core.idle());
  EXPECT_LE(asked.size(), 32u);  // ever slower
  silent.clear();
  pass(bed, 1s + tolerance);
  EXPECT_TRUE(bed.core.idle());
}

// A release that was lost, and is overtaken by a retry: it goes on once that attempt has ended without a
// state of its own, however long it was out.
TEST_F(Held, ALostReleaseGoesOnAfterALongRetry) {
  Bed bed({"r", "w", "w2"}, limits(500ms));
  bed.take();
  bed.done(Outcome::prefill_done);
  silence(bed, {"r", "w", "w2"});
  bed.done(Outcome::rejected_over_capacity,
           1);  // its state is lost, says the decode node: it is let go and read anew
  answer(bed);
  ASSERT_EQ(asked.size(), 1u);
  ASSERT_EQ(bed.nodes.begun.size(), 3u);
  pass(bed, 5s);
  silent.clear();
  while (bed.client.answers == 0)
    bed.done(
        Outcome::rejected_over_capacity);  // proves that nothing ran, and so leaves nothing new to let go
  pass(bed, 1s + tolerance);
  EXPECT_FALSE(answered.empty());
  EXPECT_TRUE(bed.core.idle());
}

// Two states: what a cut read may have left at one node is not what the decode node takes from another. It is
// let go of once the stream has ended, not while it runs.
TEST_F(Held, WhatACutReadLeftElsewhereIsLetGoOfAfterTheStream) {
  Bed bed({"r1", "r2", "w"}, limits(500ms));
  bed.take();
  const std::string first = at(bed);
  bed.done(Outcome::reset);
  ASSERT_NE(at(bed), first);
  bed.done(Outcome::prefill_done);
  bed.nodes.begun.back().attempt->on_data("a");
  pass(bed, 2s);
  EXPECT_TRUE(asked.empty());
  bed.done(Outcome::ok);
  answer(bed);
  ASSERT_EQ(asked.size(), 1u);
  EXPECT_EQ(asked[0], first);
  EXPECT_TRUE(bed.core.idle());
}

// The same node reads again and answers: it has noticed by then that its first connection was closed.
TEST_F(Held, AReadAgainAtTheSameNodeLeavesNothingBehind) {
  Bed bed({"r", "w"}, limits(500ms));
  bed.take();
  bed.done(Outcome::reset);
  ASSERT_EQ(at(bed), "r");
  bed.done(Outcome::prefill_done);
  bed.nodes.begun.back().attempt->on_data("a");
  bed.done(Outcome::ok);
  answer(bed);
  EXPECT_TRUE(asked.empty());
  EXPECT_TRUE(bed.core.idle());
}

// A network cut leaves hundreds of states to let go of, whose calls take all places there are. One that comes
// when another node can be reached is let go of in time all the same.
TEST_F(Held, CallsThatHangMakeRoomForALaterOne) {
  Bed bed({"r", "w", "w2"}, limits(500ms));
  bed.nodes.many = true;
  for (int i = 0; i < 300; ++i) {
    bed.next_id = "old" + std::to_string(i);
    bed.take();
    if (!bed.nodes.begun.back().open)
      continue;
    bed.done(Outcome::prefill_done);
    bed.core.client_disconnected(bed.id);
  }
  silence(bed, {"r", "w", "w2"});
  pass(bed, 700ms);
  ASSERT_GT(asked.size(), 400u);
  bed.next_id = "late";
  bed.take();
  bed.done(Outcome::prefill_done);
  const std::size_t before = bed.nodes.released.size();
  bed.core.client_disconnected(bed.id);
  EXPECT_EQ(bed.nodes.released.size(), before + 1) << "its first call is made at once";
}

}  // namespace
}  // namespace lemonroute::test
