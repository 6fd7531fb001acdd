// The one clock for lists, over drawn schedules: what discovery had is with the core in time, counted from
// when discovery had it and could be reached. And a fleet that loses discovery together does not come back
// together.
#include <gtest/gtest.h>

#include <iostream>

#include "world.h"

namespace lemonroute::discovery::paper {
namespace {

constexpr Micros day = 20s;

Schedule drawn(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto upto = [&](Micros most) {
    return Micros(std::uniform_int_distribution<Micros::rep>(0, most.count())(random));
  };
  const auto spread = [&](std::vector<Micros>& to, Micros least, Micros more) {
    for (Micros at = least + upto(more); at < day; at += least + upto(more))
      to.push_back(at);
  };
  Schedule s;
  spread(s.changes, 50ms, 3s);
  for (Micros at = upto(4s); at < day;) {
    const Micros to = at + (random() % 3 ? upto(600ms) : upto(12s)) + 1ms;
    s.troubles.push_back({at, to, static_cast<Trouble>(random() % static_cast<int>(Trouble::kinds))});
    at = to + (random() % 4 ? upto(9s) : upto(300ms)) + 1ms;
  }
  if (random() % 2)
    spread(s.silences, 7s, 10s);
  if (random() % 2)
    spread(s.restarts, 9s, 20s);
  if (random() % 2)
    spread(s.moves, 9s, 20s);
  s.answers_in = random() % 2 ? 300us : 20ms;
  s.indented = random() % 2;
  return s;
}

// The longest that any change waited, of the time in which discovery had it and could be reached without a
// break.
Micros worst(const Schedule& s, const World& world) {
  Micros longest{};
  std::vector<std::pair<Micros, Micros>> open;  // when it could be reached, at one address
  Micros from{};
  for (const auto& one : s.troubles)
    open.emplace_back(std::exchange(from, one.to), one.from);
  open.emplace_back(from, day);
  for (std::size_t i = 0; i < s.changes.size(); ++i) {
    const Micros told = world.told(i).value_or(day);
    for (const auto& [begin, end] : open) {
      std::vector<Micros> cuts{std::max(begin, s.changes[i])};
      for (const Micros moved : s.moves)
        if (moved > cuts.front() && moved < end)
          cuts.push_back(moved);
      cuts.push_back(end);
      for (std::size_t c = 0; c + 1 < cuts.size(); ++c)
        if (cuts[c] < told)
          longest = std::max(longest, std::min(told, cuts[c + 1]) - cuts[c]);
    }
  }
  return longest;
}

struct Row {
  Lists lists;
  Micros grace, bound;
  friend void PrintTo(const Row& row, std::ostream* out) {
    *out << (row.lists == Lists::pushed ? "pushed" : "asked") << ", grace " << row.grace / 1ms << " ms";
  }
};

class Clock : public testing::TestWithParam<Row> {};

TEST_P(Clock, WhatDiscoveryHadIsToldInTime) {
  const auto [lists, grace, bound] = GetParam();
  Micros longest{};
  std::size_t told = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    const Schedule s = drawn(seed);
    World world(s, Cadence(lists, grace, seed));
    world.play(day);
    const Micros here = worst(s, world);
    longest = std::max(longest, here);
    ASSERT_LE(here, bound) << "seed " << seed;
    for (std::size_t i = 0; i < s.changes.size(); ++i)
      told += world.told(i).has_value();
  }
  std::cout << "longest " << longest.count() / 1000 << " ms of " << bound.count() / 1000 << ", changes told "
            << told << "\n";
  EXPECT_GT(told, 8000u);
}
// Pushed: the longest call that fails (an answer by drops, 1.5 s), a rest and an answer; asked: the page's 6
// s.
INSTANTIATE_TEST_SUITE_P(Lists, Clock,
                         testing::Values(Row{Lists::pushed, 500ms, 1700ms}, Row{Lists::pushed, 0ms, 1700ms},
                                         Row{Lists::asked, 500ms, 6s}));

// One disturbance of each kind and length, from any moment on: how long after its end the core has what
// happened in it.
Micros after(Lists lists, Micros grace, Trouble what, Micros length, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const Micros from = 2s + Micros(random() % 2000000), to = from + length;
  Schedule s;
  s.changes = {1s, from + length / 2};
  s.troubles = {{from, to, what}};
  s.answers_in = 300us;
  World world(s, Cadence(lists, grace, seed));
  world.play(to + 20s);
  return world.told(1).value_or(Micros::max()) - to;
}

// What the agent gets at the return counts as told at once, so the list has to be had well within the grace.
TEST(Outage, ItsEndIsNoticedWithinTheGrace) {
  for (const Micros grace : {250ms, 500ms})
    for (const Trouble what : {Trouble::refused, Trouble::never_up, Trouble::silent, Trouble::reset,
                               Trouble::status, Trouble::unreadable})
      for (const Micros length : {1000ms, 1300ms, 8000ms})
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
          ASSERT_LE(after(Lists::pushed, grace, what, length, seed), grace / 2 + 5ms)
              << static_cast<int>(what) << ' ' << length.count() << ' ' << seed;
}

TEST(Outage, AnAskedListIsHadInSixSecondsHoweverLongItLasted) {
  for (int what = 0; what < static_cast<int>(Trouble::kinds); ++what)
    for (const Micros length : {100ms, 3000ms, 8000ms, 50000ms})
      for (std::uint64_t seed = 1; seed <= 50; ++seed)
        ASSERT_LE(after(Lists::asked, 500ms, static_cast<Trouble>(what), length, seed), 5s)
            << what << ' ' << seed;
}

// Wherever in its call a watch falls silent, what it misses is had a second later.
TEST(Silence, IsNoticedInASecond) {
  for (Micros silent = 1s; silent < 3s; silent += 7ms) {
    Schedule s;
    s.changes = {1ms, silent + 1ms};
    s.silences = {silent};
    s.answers_in = 300us;
    World world(s, Cadence(Lists::pushed, 500ms, static_cast<std::uint64_t>(silent.count())));
    world.play(silent + 10s);
    ASSERT_LE(world.told(1).value_or(Micros::max()) - silent, 960ms);
  }
}

// ---- a fleet ----

// The most of `times` within any span of `width`, and how far apart the first and the last are.
std::pair<std::size_t, Micros> crowd(std::vector<Micros> times, Micros width) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
    while (times[i] - times[j] > width)
      ++j;
    most = std::max(most, i - j + 1);
  }
  return {most, times.back() - times.front()};
}

std::vector<Micros> first_calls(const Schedule& s, Lists lists, Micros from, bool same_seed = false) {
  std::vector<Micros> times;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    World world(s, Cadence(lists, 500ms, same_seed ? 1 : seed));
    world.play(from + 10s);
    times.push_back(*std::upper_bound(world.starts().begin(), world.starts().end(), from));
  }
  return times;
}

TEST(Fleet, DoesNotCallAtOnceAfterASharedOutage) {
  for (const Lists lists : {Lists::pushed, Lists::asked})
    for (const Trouble what : {Trouble::refused, Trouble::silent})
      for (const Micros length : {2s, 8s}) {
        Schedule s;
        s.changes = {500ms};
        s.troubles = {{1s, 1s + length, what}};
        s.answers_in = 300us;
        const auto [most, apart] = crowd(first_calls(s, lists, 1s + length), 10ms);
        EXPECT_LE(most, 60u) << static_cast<int>(lists) << static_cast<int>(what);
        EXPECT_GE(apart, 75ms);
      }
}

// They were answered together a moment ago, so all their calls are at the same point.
TEST(Fleet, DoesNotCallAtOnceAfterASharedSilence) {
  Schedule s;
  s.changes = {500ms};
  s.silences = {501ms};
  s.answers_in = 300us;
  for (const Lists lists : {Lists::pushed, Lists::asked}) {
    const auto [most, apart] = crowd(first_calls(s, lists, 501ms), 10ms);
    EXPECT_LE(most, 40u);
    EXPECT_GE(apart, 150ms);
  }
  EXPECT_EQ(crowd(first_calls(s, Lists::pushed, 501ms, true), 10ms).first, 300u)
      << "it is the seed that parts them";
}

// Where calls have their price: few of them in an outage, and no whole list for a watch that broke.
TEST(Fleet, AsksSparinglyWhereListsCost) {
  Schedule s;
  for (Micros at = 100ms; at < 30s; at += 1s)
    s.changes.push_back(at);
  s.troubles = {{10s, 30s, Trouble::refused}};
  s.answers_in = 300us;
  World world(s, Cadence(Lists::asked, 500ms, 7));
  world.play(40s);
  const auto within = std::count_if(world.starts().begin(), world.starts().end(),
                                    [](Micros at) { return at > 10s && at < 30s; });
  EXPECT_LE(within, 30);
  EXPECT_EQ(world.whole_lists(), 1u);
  EXPECT_EQ(world.held(), world.listed(40s));
}

// An agent that answers at once, with nothing new, is not called without pause; and the watch goes on.
TEST(Agent, ThatDoesNotWaitIsNotCalledWithoutPause) {
  Cadence cadence;
  cadence.next();
  EXPECT_EQ(cadence.take(200, R"({"generation":4,"reset":true,"instances":[]})", 1ms).rest, 0us);
  for (const char* again : {R"({"generation":4,"reset":false,"instances":[]})",
                            R"({"generation":4,"reset":true,"instances":[]})"}) {
    cadence.next();
    const Micros rest = cadence.take(200, again, 1ms).rest;
    EXPECT_GE(rest, 50ms);
    EXPECT_LT(rest, 150ms);
    const auto call = cadence.next();
    EXPECT_EQ(cadence.take(200, again, call.wait).rest, 0us);
  }
}

// Discovery that was started anew counts from the beginning; what it calls changes are none of the list held
// here.
TEST(Agent, ThatCountsBackIsAskedForTheWholeList) {
  Cadence cadence;
  cadence.answered(41);
  cadence.next();
  EXPECT_THROW(cadence.take(200, R"({"generation":5,"reset":false,"instances":[]})", 500ms), ListError);
  cadence.failed();
  EXPECT_EQ(cadence.next().target, "/v1/servers");
  const auto answer = cadence.take(200, R"({"generation":5,"reset":true,"instances":[]})", 1ms);
  EXPECT_EQ(answer.kind, EndpointListKind::full);
  EXPECT_EQ(cadence.next().target, "/v1/servers?index=5&wait=500");
}

}  // namespace
}  // namespace lemonroute::discovery::paper
