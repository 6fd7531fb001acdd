// Which node gets the next release call, and how soon.
#include "core/router/release_targets.h"

#include <gtest/gtest.h>

#include "core/class_test_support.h"
#include "core/router/release_schedule.h"

namespace lemonroute::test {
namespace {

struct ReleaseTargetsTest : ::testing::Test, ClassFixture {
  void hold_at(const std::string& name) {
    ReservationHolder holder;
    holder.endpoint = id(name);
    pending.holders.push_back(holder);
    pending.since = clock.at;
    pending.due_at = clock.at + settings.reservation_release_timeout;
  }
  std::string next() const {
    const Node* node = targets.next_target(pending);
    return node ? node->name : "none";
  }
  // Counts a call to the node that is next, and returns its name.
  std::string call_next() {
    const std::string name = next();
    ++pending.tries;
    ++pending.calls_by_endpoint[id(name)];
    return name;
  }
  PendingRelease pending;
  ReleaseSchedule schedule{context, nodes};
  ReleaseTargets targets{context, nodes, schedule};
};

TEST_F(ReleaseTargetsTest, CallsTheHolderFirstAndAtEveryFourthCall) {
  (void)list({"r1", "w1", "w2", "w3"});
  hold_at("r1");
  std::vector<std::string> called;
  for (int call = 0; call < 5; ++call)
    called.push_back(call_next());
  EXPECT_EQ(called[0], "r1");
  EXPECT_EQ(std::count(called.begin(), called.end(), "r1"), 2);
  EXPECT_EQ(called[4], "r1");
}

TEST_F(ReleaseTargetsTest, CallsTheOtherRoleBeforeTheHoldersRole) {
  (void)list({"r1", "r2", "r3", "w1"});
  hold_at("r1");
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, CallsASuspectedNodeLast) {
  (void)list({"r1", "w1", "w2", "w3"});
  hold_at("r1");
  nodes.record_failure(id("w1"));
  nodes.record_answer(id("w3"));
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "w3");
  EXPECT_EQ(call_next(), "w2");
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, CallsAnUnlistedHolderNever) {
  (void)list({"r1", "w1"});
  hold_at("r1");
  (void)list({"w1"});
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, CallsTheHolderWhereNoOtherNodeIsReady) {
  (void)list({"r1"});
  hold_at("r1");
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "r1");
}

TEST_F(ReleaseTargetsTest, HasNoTargetWithoutNodes) {
  (void)list({"r1"});
  hold_at("r1");
  (void)list({});
  EXPECT_EQ(next(), "none");
}

TEST_F(ReleaseTargetsTest, TellsOnlyHoldersOnceTheOthersHaveBeenToldForLong) {
  (void)list({"r1", "w1"});
  hold_at("r1");
  pending.arrived = true;
  pending.tries = 1;
  EXPECT_EQ(next(), "w1");
  clock.at += 8 * settings.reservation_release_timeout;
  EXPECT_EQ(next(), "r1");
}

TEST_F(ReleaseTargetsTest, StartsEightCallsWithinTheTimeout) {
  (void)list({"r1"});
  hold_at("r1");
  EXPECT_EQ(schedule.retry_interval(pending), Micros(100ms));
  EXPECT_EQ(schedule.release_due_at(1s), Micros(1400ms));
}

TEST_F(ReleaseTargetsTest, CallsSoonerAfterAHolderThatFailedAtTheLastContact) {
  (void)list({"r1"});
  hold_at("r1");
  nodes.record_failure(id("r1"));
  EXPECT_EQ(schedule.retry_interval(pending), Micros(50ms));
}

TEST_F(ReleaseTargetsTest, CallsFasterAndEndsSoonAfterTheShutdownDeadline) {
  (void)list({"r1"});
  hold_at("r1");
  pending.expires_at = clock.at + 30s;
  schedule.set_shutdown_deadline(clock.at);
  schedule.limit_to_shutdown(pending);
  EXPECT_EQ(schedule.retry_interval(pending), Micros(40ms));
  EXPECT_EQ(pending.expires_at, clock.at + 300ms);
}

}  // namespace
}  // namespace lemonroute::test
