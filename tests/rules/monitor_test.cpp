// The monitor of the rules: each broken in each way that it knows, and what is allowed left alone.
#include "rules/monitor.h"

#include <gtest/gtest.h>

namespace lemonroute::rules {
namespace {

using namespace std::chrono_literals;

struct Watch : ::testing::Test {
  static Limits limits() {
    Limits l;
    l.cold_for = 10s;
    l.cold_window = 1s;
    l.cold_from = 0.25;
    l.cold_multiple = 2;
    return l;
  }
  Monitor m{limits()};
  void SetUp() override {
    for (const char* node : {"r", "r2", "w"})
      m.listed(0s, node, EndpointState::ready, 0s, 10000);
    m.taken(100s, "q", 106s, 3);
  }
  // Every rule broken so far, as its numbers.
  std::string broken() const {
    std::string all;
    for (const auto& one : m.breaches())
      all += std::to_string(static_cast<int>(one.rule));
    return all;
  }
  void served() {
    m.sent(100s, "q", "r", 100);
    m.over(101s, "q", "r");
    m.held(101s, "q", "r");
    m.sent(101s, "q", "w", 100);
    m.freed(102s, "q", "r");
    m.first(102s, "q");
    m.over(103s, "q", "w");
    m.answered(103s, "q", "served");
  }
};

TEST_F(Watch, AServedRequestBreaksNothing) {
  served();
  m.finish(200s);
  EXPECT_EQ(broken(), "");
  EXPECT_EQ(m.open(), 0u);
}

TEST_F(Watch, NoAnswer) {
  EXPECT_EQ(m.open(), 1u);
  m.advance(106s);
  EXPECT_EQ(broken(), "") << "in the very moment it may still come";
  m.advance(106s + 1us);
  EXPECT_EQ(broken(), "1");
  m.advance(110s);
  EXPECT_EQ(broken(), "1") << "once";
}
TEST_F(Watch, NeverAnsweredAtTheEnd) {
  m.finish(101s);
  EXPECT_EQ(broken(), "1");
}
TEST_F(Watch, TwoAnswers) {
  served();
  m.answered(103s, "q", "failed");
  EXPECT_EQ(broken(), "1");
}
TEST_F(Watch, LateAnswer) {
  m.answered(107s, "q", "failed");
  EXPECT_EQ(broken(), "1");
  m.finish(108s);
  EXPECT_EQ(broken(), "1");
}
TEST_F(Watch, LateFirstEvent) {
  m.first(107s, "q");
  m.answered(108s, "q", "served");
  EXPECT_EQ(broken(), "1");
}
TEST_F(Watch, AStreamMayGoOnBeyondTheDeadline) {
  m.first(105s, "q");
  m.answered(150s, "q", "served");
  EXPECT_EQ(broken(), "");
}
TEST_F(Watch, AnswerToAClientThatLeft) {
  m.left(101s, "q");
  m.finish(200s);
  EXPECT_EQ(broken(), "") << "none is owed";
  m.answered(200s, "q", "failed");
  EXPECT_EQ(broken(), "1");
}
TEST_F(Watch, AnswerToNobody) {
  m.answered(101s, "x", "served");
  EXPECT_EQ(broken(), "1");
}

TEST_F(Watch, TwoAttemptsOut) {
  m.sent(100s, "q", "r", 100);
  m.sent(101s, "q", "r2", 100);
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, SecondCopiesWhereTheyAreAllowed) {
  Limits l = limits();
  l.second_copies = true;
  m.limit(l);
  m.sent(100s, "q", "r", 100);
  m.sent(101s, "q", "r2", 100);
  EXPECT_EQ(broken(), "");
}
TEST_F(Watch, TooManyAttempts) {
  for (int i = 0; i < 4; ++i) {
    m.sent(100s, "q", "r", 100);
    m.over(100s, "q", "r");
  }
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, AttemptsAfterTheEnd) {
  served();
  m.sent(104s, "q", "w", 100);
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, AttemptsForAClientThatLeft) {
  m.left(100s, "q");
  m.sent(101s, "q", "r", 100);
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, ARouterThatLearnsOfItLater) {
  Limits l = limits();
  l.told_late = 1s;
  m.limit(l);
  m.left(100s, "q");
  m.sent(101s, "q", "r", 100);
  EXPECT_EQ(broken(), "");
  m.over(101s, "q", "r");
  m.sent(101s + 1us, "q", "r", 100);
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, AttemptForNothing) {
  m.sent(101s, "x", "r", 100);
  EXPECT_EQ(broken(), "2");
}
TEST_F(Watch, AttemptOutAtTheEnd) {
  m.sent(100s, "q", "r", 100);
  m.answered(101s, "q", "failed");
  m.finish(110s);
  EXPECT_EQ(broken(), "2");
}

TEST_F(Watch, WorkToANodeThatDrains) {
  for (const EndpointState phase : {EndpointState::draining, EndpointState::removed}) {
    Monitor one(limits());
    one.listed(0s, "r", EndpointState::ready, 0s);
    one.taken(100s, "q", 106s, 3);
    one.listed(100s, "r", phase, 0s);
    one.sent(100s + 500ms, "q", "r", 100);
    EXPECT_TRUE(one.breaches().empty()) << "within the grace";
    one.over(100s + 500ms, "q", "r");
    one.listed(100s + 600ms, "r", phase, 0s);  // told again: the time goes on from the first
    one.sent(100s + 601ms, "q", "r", 100);
    ASSERT_EQ(one.breaches().size(), 1u);
    EXPECT_EQ(one.breaches()[0].rule, Rule::drain);
    EXPECT_EQ(one.breaches()[0].request, "q");
    EXPECT_EQ(one.breaches()[0].node, "r");
    EXPECT_NE(one.breaches()[0].text(100s).find("rule 3"), std::string::npos);
    EXPECT_NE(one.breaches()[0].text(100s).find("at 601 ms, request q, node r"), std::string::npos)
        << one.breaches()[0].text(100s);
  }
}
TEST_F(Watch, WorkToANodeThatIsReadyAgain) {
  m.listed(100s, "r", EndpointState::draining, 0s);
  m.listed(102s, "r", EndpointState::ready, 0s);
  m.sent(103s, "q", "r", 100);
  EXPECT_EQ(broken(), "");
}
TEST_F(Watch, WorkToANodeOutByHand) {
  m.banned(100s, "r");
  m.listed(100s + 100ms, "r", EndpointState::ready, 0s);  // whatever is listed
  m.sent(100s + 501ms, "q", "r", 100);
  EXPECT_EQ(broken(), "3");
  m.over(101s, "q", "r");
  m.unbanned(101s, "r");
  m.sent(102s, "q", "r", 100);
  EXPECT_EQ(broken(), "3");
}

TEST_F(Watch, AColdNodeBeyondItsBudget) {  // 2 x 0.25 x 10,000 tokens/s x 1 s = 5,000
  m.listed(99s, "r", EndpointState::ready, 99s, 10000);
  const auto send = [&](const char* id, Micros at, double tokens) {
    m.taken(at, id, at + 6s, 3);
    m.sent(at, id, "r", tokens);
  };
  send("a", 100s, 9000);
  EXPECT_EQ(broken(), "") << "one alone passes, or the node could never warm up";
  send("b", 100s + 999ms, 100);
  EXPECT_EQ(broken(), "4");
  send("c", 102s, 2500);
  send("d", 102s, 2500);
  EXPECT_EQ(broken(), "4") << "in a new window, just within the budget";
  send("e", 102s + 1ms, 1);
  EXPECT_EQ(broken(), "44");
  send("f", 109s, 4000);
  send("g", 109s, 4000);
  EXPECT_EQ(broken(), "44") << "warm by then";
}
TEST_F(Watch, AColdNodesBudgetIsSharedAmongSiblings) {
  Limits l = limits();
  l.siblings = 2;
  m.limit(l);
  m.listed(99s, "r", EndpointState::ready, 99s, 10000);
  m.taken(100s, "a", 106s, 3);
  m.sent(100s, "a", "r", 1500);
  m.sent(100s, "q", "r", 1500);
  EXPECT_EQ(broken(), "4");
}
TEST_F(Watch, ANewProcessStartsItsWindowAnew) {
  m.sent(100s, "q", "r", 9000);
  m.over(100s, "q", "r");
  m.listed(100s, "r", EndpointState::ready, 100s, 10000);
  m.sent(100s, "q", "r", 9000);
  EXPECT_EQ(broken(), "");
}
TEST_F(Watch, NoBudgetWithoutACapacity) {
  m.listed(99s, "r", EndpointState::ready, 99s);
  m.sent(100s, "q", "r", 1e6);
  m.over(100s, "q", "r");
  m.sent(100s, "q", "r", 1e6);
  EXPECT_EQ(broken(), "");
}

TEST_F(Watch, HeldTooLong) {
  m.sent(100s, "q", "r", 100);
  m.over(101s, "q", "r");
  m.held(101s, "q", "r");
  m.advance(102s);
  EXPECT_EQ(broken(), "");
  m.advance(102s + 1us);
  EXPECT_EQ(broken(), "5");
  m.advance(103s);
  EXPECT_EQ(broken(), "5") << "once";
}
TEST_F(Watch, HeldWhileAnAttemptIsOut) {
  m.sent(100s, "q", "r", 100);
  m.over(101s, "q", "r");
  m.held(101s, "q", "r");
  m.sent(101s, "q", "w", 100);
  m.advance(105s);
  EXPECT_EQ(broken(), "") << "the time runs only with no attempt out";
  m.over(105s, "q", "w");
  m.advance(105s + 900ms);
  EXPECT_EQ(broken(), "");
  m.freed(105s + 900ms, "q", "r");
  m.answered(105s + 900ms, "q", "failed");
  m.finish(200s);
  EXPECT_EQ(broken(), "");
}
TEST_F(Watch, HeldAfterTheAnswer) {
  m.sent(100s, "q", "r", 100);
  m.over(101s, "q", "r");
  m.held(101s, "q", "r");
  m.answered(101s, "q", "refused");
  m.advance(103s);
  EXPECT_EQ(broken(), "5");
}
TEST_F(Watch, HeldAtTheEnd) {
  m.held(101s, "q", "r");
  m.answered(101s, "q", "refused");
  m.finish(101s + 10ms);
  EXPECT_EQ(broken(), "5");
}

// Sends of regions a and b to one pool, and what is published of its owner; each is told 100 ms after the
// last one.
struct PoolCase {
  const char* name;
  std::vector<std::string> told;  // "a": a sends; "a=3": a owns it at epoch 3
  std::string broken;
};
class PoolTurns : public Watch, public ::testing::WithParamInterface<PoolCase> {};
TEST_P(PoolTurns, OneRegionAtATime) {
  m.pooled("w", "p");
  Micros at = 100s;
  for (const auto& word : GetParam().told) {
    at += 100ms;
    if (word.size() > 1)
      m.owns(at, "p", word.substr(0, 1), std::stoull(word.substr(2)));
    else
      m.sent(at, "q", "w", 1, word);
    m.over(at, "q", "w");
  }
  m.advance(at);
  EXPECT_EQ(m.breaches().size(), std::count_if(m.breaches().begin(), m.breaches().end(),
                                               [](auto& one) { return one.rule != Rule::pool; }))
      << "what is published may yet come";
  m.advance(at + 2s);
  std::string turns;
  for (const auto& one : m.breaches())
    if (one.rule == Rule::pool)
      turns += one.what.substr(7, 1);
  EXPECT_EQ(turns, GetParam().broken);
}
INSTANTIATE_TEST_SUITE_P(
    Cases, PoolTurns,
    ::testing::Values(PoolCase{"Moves", {"a=1", "a", "a", "b=2", "b", "b"}, ""},
                      PoolCase{"MovesThereAndBack", {"a=1", "a", "b=2", "b", "a=3", "a"}, ""},
                      PoolCase{"ToldLate", {"a", "b", "a", "a=3", "b=2", "a=1"}, ""},
                      PoolCase{"SendsOnAfterTheMove", {"a=1", "a", "b=2", "b", "a", "a"}, "a"},
                      PoolCase{"BothInTurns", {"a=1", "a", "b=2", "b", "a", "b"}, "ab"},
                      PoolCase{"NeverOwned", {"a=1", "a", "b"}, "b"},
                      PoolCase{"OlderEpoch", {"a=5", "a", "b=4", "b"}, "b"},
                      PoolCase{"NobodySays", {"a"}, "a"}),
    [](auto& one) { return one.param.name; });
TEST_F(Watch, SendsToNodesOfNoPoolAreNobodysTurn) {
  m.sent(100s, "q", "w", 1, "a");
  m.over(100s, "q", "w");
  m.sent(101s, "q", "w", 1, "b");
  m.advance(105s);
  EXPECT_EQ(broken(), "");
}

// What may have run is repeated as its class allows: in its group and window, never, or at will.
struct Repeats : Watch {
  void SetUp() override {
    Watch::SetUp();
    m.placed("r", "z1", 1, false);
    m.placed("w", "z1", 1, true);
    m.placed("w2", "z1", 2, true);
    m.placed("w3", "z2", 3, true);
  }
  std::string after(Terms terms, const std::string& node, Micros wait, bool ran = true) {
    Monitor fresh = m;
    fresh.taken(100s, "k", 106s, 3, terms);
    fresh.sent(100s, "k", "w", 100);
    fresh.over(101s, "k", "w", ran);
    fresh.sent(100s + wait, "k", node, 100);
    return fresh.breaches().empty() ? "" : fresh.breaches()[0].what;
  }
};
TEST_F(Repeats, AsTheClassAllows) {
  const Terms once{Idempotency::not_idempotent, RetryScope::all, 0s},
      all{Idempotency::idempotent_with_key, RetryScope::all, 2s},
      zone{Idempotency::idempotent_with_key, RetryScope::zone, 2s},
      cell{Idempotency::idempotent_with_key, RetryScope::cell, 2s};
  EXPECT_EQ(after({}, "w3", 4s), "");
  EXPECT_NE(after(once, "w", 1s), "");
  EXPECT_EQ(after(once, "w", 1s, false), "");
  EXPECT_EQ(after(once, "r", 1s), "");  // reading has no effect
  EXPECT_EQ(after(all, "w3", 1999ms), "");
  EXPECT_NE(after(all, "w3", 2s).find("its window is 2000 ms"), std::string::npos);
  EXPECT_EQ(after(zone, "w2", 1s), "");
  EXPECT_NE(after(zone, "w3", 1s).find("outside the group"), std::string::npos);
  EXPECT_EQ(after(cell, "w", 1s), "");
  EXPECT_NE(after(cell, "w2", 1s).find("outside the group"), std::string::npos);
}
TEST_F(Repeats, ARefusalSaysThatTryingAgainIsHarmless) {
  const auto refused = [&](Terms terms, bool ran) {
    Monitor fresh = m;
    fresh.taken(100s, "k", 106s, 3, terms);
    fresh.sent(100s, "k", "w", 100);
    fresh.over(101s, "k", "w", ran);
    fresh.refused(101s, "k");
    return fresh.breaches().size();
  };
  EXPECT_EQ(refused({}, true), 0u);
  EXPECT_EQ(refused({Idempotency::not_idempotent, RetryScope::all, 0s}, false), 0u);
  EXPECT_EQ(refused({Idempotency::not_idempotent, RetryScope::all, 0s}, true), 1u);
  EXPECT_EQ(refused({Idempotency::idempotent_with_key, RetryScope::all, 2s}, true), 0u);
  EXPECT_EQ(refused({Idempotency::idempotent_with_key, RetryScope::cell, 2s}, true), 1u);
}

TEST_F(Watch, TimeNeverGoesBack) {
  m.advance(105s);
  m.answered(90s, "q", "refused");
  ASSERT_EQ(broken(), "");
  m.answered(90s, "q", "refused");
  EXPECT_EQ(m.breaches()[0].at, 105s);
}

}  // namespace
}  // namespace lemonroute::rules
