// What one client connection may do (Guard), and which node connection takes a call (Pool): both without
// sockets.
#include "grpc/limits.h"

#include <gtest/gtest.h>

#include <random>

#include "grpc/pool.h"

namespace lemonroute::grpc {
namespace {

using namespace std::chrono_literals;

enum Frame : std::uint8_t {
  data,
  headers,
  priority,
  rst,
  settings,
  push,
  ping,
  goaway,
  window,
  continuation
};

struct Defence : ::testing::Test {
  Guard guard{Guard::Limits{}};
  Guard::Clock::time_point now{1h};
  // How many such frames pass before the connection would end.
  int passes(std::uint8_t type, std::uint8_t flags, std::size_t length, Guard::Clock::duration every,
             int most = 5000) {
    for (int i = 0; i < most; ++i, now += every)
      if (guard.frame(now, type, flags, length))
        return i;
    return most;
  }
};

TEST_F(Defence, EachFloodEndsTheConnectionByName) {
  struct Row {
    Abuse abuse;
    std::uint8_t type, flags;
    std::size_t length;
  };
  for (const auto& row : {Row{Abuse::pings, ping, 0, 8}, Row{Abuse::settings, settings, 0, 0},
                          Row{Abuse::empty_frames, data, 0, 0}, Row{Abuse::empty_frames, headers, 4, 0},
                          Row{Abuse::continuations, continuation, 0, 100}, Row{Abuse::windows, window, 0, 4},
                          Row{Abuse::priorities, priority, 0, 5}, Row{Abuse::priorities, 0xfa, 0, 5}}) {
    Guard one{Guard::Limits{}};
    std::optional<Abuse> found;
    int i = 0;
    for (; i < 5000 && !found; ++i)
      found = one.frame(now, row.type, row.flags, row.length);
    ASSERT_TRUE(found) << word(row.abuse);
    EXPECT_EQ(*found, row.abuse);
    EXPECT_EQ(i, static_cast<int>(Guard::Limits{}.buckets[static_cast<std::size_t>(row.abuse)].burst) + 1)
        << word(row.abuse);
  }
}

TEST_F(Defence, WhatIsAllowedForEverPassesForEver) {
  EXPECT_EQ(passes(ping, 0, 8, 500ms), 5000);
  EXPECT_EQ(passes(settings, 0, 6, 1s), 5000);
  EXPECT_EQ(passes(data, 0, 0, 63ms), 5000);
  EXPECT_EQ(passes(window, 0, 4, 4ms), 5000);
  for (int i = 0; i < 5000; ++i, now += 16ms)
    EXPECT_FALSE(guard.reset_early(now));
}

TEST_F(Defence, AnswersAndWholeFramesCostNothing) {
  EXPECT_EQ(passes(ping, 1, 8, 0s), 5000) << "answers to ours";
  EXPECT_EQ(passes(settings, 1, 0, 0s), 5000);
  EXPECT_EQ(passes(data, 1, 0, 0s), 5000) << "the empty frame that ends a request";
  EXPECT_EQ(passes(data, 0, 1, 0s), 5000) << "a body byte by byte is slow, but work for the peer too";
  EXPECT_EQ(passes(headers, 5, 40, 0s), 5000);
}

TEST_F(Defence, UpdatesForWhatWasSentAreInOrder) {
  for (int i = 0; i < 5000; ++i) {
    guard.sent_data();
    EXPECT_FALSE(guard.frame(now, window, 0, 4));
    EXPECT_FALSE(guard.frame(now, window, 0, 4));
  }
}

TEST_F(Defence, ContinuationsCountWithinTheirBlockHoweverSlow) {
  EXPECT_EQ(passes(continuation, 0, 100, 60s), 16);
  Guard one{Guard::Limits{}};
  for (int block = 0; block < 1000; ++block) {
    EXPECT_FALSE(one.frame(now, headers, 0, 100));
    for (int i = 0; i < 3; ++i)
      EXPECT_FALSE(one.frame(now, continuation, i == 2 ? 4 : 0, 100));
  }
}

TEST_F(Defence, RapidReset) {
  int resets = 0;
  while (resets < 1000 && !guard.reset_early(now))
    ++resets;
  EXPECT_EQ(resets, 256) << "a client that cancels all of its 128 calls may, twice over";
}

TEST_F(Defence, TimeThatGoesBackGivesNothing) {
  for (int i = 0; i < 20; ++i)
    EXPECT_FALSE(guard.frame(now, ping, 0, 8));
  EXPECT_TRUE(guard.frame(now - 1h, ping, 0, 8));
}

// ---- Connections to a node ----

struct Connections : ::testing::Test {
  Pool::Limits limits;
  Pool pool{limits};
  Pool::Time now{1h};
  using Answer = Pool::Answer;

  // A call; the connection that it went to, 0 for none. New connections come up at once and allow `streams`.
  Pool::Id call(std::uint32_t streams = 4, bool may_open = true) {
    const auto route = pool.route(now, may_open);
    for (const auto id : {route.answer == Answer::open ? route.id : 0, route.also_open.value_or(0)})
      if (id) {
        pool.up(now, id);
        pool.allows(id, streams);
      }
    if (route.answer == Answer::nowhere)
      return 0;
    pool.began(route.id);
    return route.id;
  }
};

TEST_F(Connections, TheFirstCallOpensOneAndTheNextUseIt) {
  EXPECT_EQ(call(100), 1u);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(call(100), 1u);
  EXPECT_EQ(pool.size(), 1u);
}

TEST_F(Connections, NothingIsOpenedBesideOneThatHasNotProvenItself) {
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(call(), 1u);
  EXPECT_EQ(call(), 1u) << "it waits there";
  EXPECT_EQ(pool.size(), 1u);
  pool.ended(now, 1, true);
  call();
  EXPECT_EQ(pool.size(), 2u) << "the node answers: now it may have another";
}

TEST_F(Connections, AnotherIsOpenedWhileTheLastFills) {
  call(8);
  pool.ended(now, 1, true);
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(call(8), 1u);
  EXPECT_EQ(pool.size(), 1u);
  EXPECT_EQ(call(8), 1u) << "the seventh still goes to the first,";
  EXPECT_EQ(pool.size(), 2u) << "and the second comes up meanwhile";
}

TEST_F(Connections, OneAtATime) {
  call();
  pool.ended(now, 1, true);
  for (int i = 0; i < 4; ++i)
    call();
  const auto first = pool.route(now, true);
  if (first.answer == Answer::open || first.also_open) {
    const auto again = pool.route(now, true);
    EXPECT_FALSE(again.also_open);
    EXPECT_NE(again.answer, Answer::open) << "one is on its way already";
  }
}

TEST_F(Connections, NoMoreThanAllowed) {
  for (int i = 0; i < 500; ++i) {
    const auto id = call(2);
    if (id && pool.calls() == 1)
      pool.ended(now, id, true), pool.began(id);
  }
  EXPECT_EQ(pool.size(), limits.connections);
  EXPECT_EQ(call(2), 0u) << "waiting is bounded";
  EXPECT_LE(pool.calls(), limits.connections * (2 + limits.waiting));
}

TEST_F(Connections, WithoutADescriptorThePresentOnesServe) {
  EXPECT_EQ(call(4, false), 0u);
  EXPECT_EQ(call(4, true), 1u);
  pool.ended(now, 1, true);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(call(4, false), 1u);
  EXPECT_EQ(pool.size(), 1u);
}

TEST_F(Connections, ALimitThatShrinks) {
  call(100);
  pool.ended(now, 1, true);
  for (int i = 0; i < 10; ++i)
    call(100);
  pool.allows(1, 1);
  EXPECT_EQ(call(100), 2u) << "calls beyond it go on, new ones go elsewhere";
  pool.allows(1, 0);
  pool.allows(2, 0);
  for (int i = 0; i < 3; ++i)
    call(0);
  EXPECT_EQ(call(0), 0u) << "a node that allows none gets none";
}

TEST_F(Connections, ADrainingOneFinishesAndIsRetired) {
  call(100);
  pool.ended(now, 1, true);
  EXPECT_EQ(call(100), 1u);
  pool.drains(1);
  EXPECT_EQ(call(100), 2u);
  EXPECT_TRUE(pool.retire(now).empty()) << "its call goes on";
  pool.ended(now, 1, true);
  EXPECT_EQ(pool.retire(now), std::vector<Pool::Id>{1});
}

TEST_F(Connections, ASilentOneGetsNothingUntilItIsHeard) {
  call(100);
  pool.ended(now, 1, true);
  pool.silent(1);
  EXPECT_EQ(call(100), 2u);
  pool.ended(now, 2, true);
  pool.heard(1);
  pool.drains(2);
  EXPECT_EQ(call(100), 1u);
}

TEST_F(Connections, TheFullestTakesTheCallSoThatOthersRest) {
  limits.open_at = 0.5;
  pool.limit(limits);
  call(10);
  pool.ended(now, 1, true);
  for (int i = 0; i < 7; ++i)
    call(10);
  ASSERT_EQ(pool.size(), 2u);
  now += limits.idle;
  EXPECT_EQ(pool.retire(now), std::vector<Pool::Id>{2});
}

TEST_F(Connections, IdleOnesAreRetiredAndTheIdlestMakesRoom) {
  const auto id = call(10);
  EXPECT_FALSE(pool.idlest());
  pool.ended(now, id, true);
  EXPECT_TRUE(pool.retire(now + limits.idle - 1ms).empty());
  EXPECT_EQ(pool.retire(now + limits.idle).size(), 1u);
  ASSERT_TRUE(pool.idlest());
  EXPECT_EQ(pool.idlest()->second, id);
}

TEST_F(Connections, ANodeThatRefusesIsKnockedAtLessAndLess) {
  int knocks = 0;
  for (const auto end = now + 10s; now < end; now += 1ms) {
    const auto route = pool.route(now, true);
    if (route.answer != Answer::open)
      continue;
    ++knocks;
    pool.gone(now, route.id);
  }
  EXPECT_GE(knocks, 10);
  EXPECT_LE(knocks, 18) << "of 10,000 calls in 10 s";
  now += limits.back_off_most;
  const auto route = pool.route(now, true);
  ASSERT_EQ(route.answer, Answer::open);
  pool.up(now, route.id);
  pool.gone(now, route.id);
  EXPECT_EQ(pool.route(now, true).answer, Answer::open) << "it came up: the back-off is over";
}

// Whatever happens in whatever order, the bounds hold and no call is given to a connection that may have
// none.
TEST_F(Connections, RandomEventsKeepTheBounds) {
  std::mt19937_64 random(7);
  struct Known {
    bool up = false, drains = false, silent = false;
    std::uint32_t calls = 0;
  };
  std::map<Pool::Id, Known> known;
  for (int i = 0; i < 200000; ++i) {
    now += std::chrono::milliseconds(random() % 20);
    std::vector<Pool::Id> ids;
    for (const auto& [id, one] : known)
      ids.push_back(id);
    const Pool::Id some = ids.empty() ? 0 : ids[random() % ids.size()];
    switch (random() % 10) {
      case 0:
        if (some)
          pool.up(now, some), known[some].up = true;
        break;
      case 1:
        if (some)
          pool.allows(some, static_cast<std::uint32_t>(random() % 5));
        break;
      case 2:
        if (some && random() % 4 == 0)
          pool.drains(some), known[some].drains = true;
        break;
      case 3:
        if (some && random() % 2)
          pool.silent(some), known[some].silent = true;
        break;
      case 4:
        if (some)
          pool.heard(some), known[some].silent = false;
        break;
      case 5:
        if (some && random() % 3 == 0)
          pool.gone(now, some), known.erase(some);
        break;
      case 6:
      case 7:
        if (some && known[some].calls) {
          const bool answered = random() % 2;
          pool.ended(now, some, answered), --known[some].calls;
          if (answered)
            known[some].silent = false;
        }
        break;
      default: {
        const auto route = pool.route(now, random() % 8 != 0);
        if (route.also_open)
          known[*route.also_open];
        if (route.answer == Answer::nowhere)
          break;
        if (route.answer == Answer::open)
          known[route.id];
        ASSERT_TRUE(known.count(route.id));
        ASSERT_FALSE(known[route.id].drains || known[route.id].silent);
        pool.began(route.id);
        ++known[route.id].calls;
      }
    }
    ASSERT_LE(pool.size(), limits.connections);
    ASSERT_EQ(pool.size(), known.size());
    for (const auto& [id, one] : known)
      ASSERT_LE(one.calls, limits.unheard + limits.waiting + 1);
    for (const auto id : pool.retire(now))
      ASSERT_EQ(known.at(id).calls, 0u);
  }
}

}  // namespace
}  // namespace lemonroute::grpc
