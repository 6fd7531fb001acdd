// ReleaseTargets and ReleaseSchedule: which node gets the next release call, and when.
#include "core/router/release_targets.h"

#include <gtest/gtest.h>

#include "core/class_test_support.h"
#include "core/router/release_schedule.h"

namespace lemonroute::test {
namespace {

struct ReleaseTargetsTest : ::testing::Test, RouterClassFixture {
  void add_holder(const std::string& name) {
    ReservationHolder holder;
    holder.endpoint = id(name);
    pending.holders.push_back(holder);
    pending.since = clock.time;
    pending.due_at = clock.time + settings.reservation_release_timeout;
  }
  std::string next_target_name() const {
    const Node* node = targets.next_target(pending);
    return node ? node->name : "none";
  }
  // Records a call to the next target and returns its name.
  std::string call_next() {
    const std::string name = next_target_name();
    ++pending.calls_made;
    ++pending.calls_by_endpoint[id(name)];
    return name;
  }
  PendingRelease pending;
  ReleaseSchedule schedule{context, nodes};
  ReleaseTargets targets{context, nodes, schedule};
};

TEST_F(ReleaseTargetsTest, CallsTheHolderFirstAndWithEveryFourthCall) {
  (void)list_nodes({"r1", "w1", "w2", "w3"});
  add_holder("r1");
  std::vector<std::string> called;
  for (int call = 0; call < 5; ++call)
    called.push_back(call_next());
  EXPECT_EQ(called[0], "r1");
  EXPECT_EQ(std::count(called.begin(), called.end(), "r1"), 2);
  EXPECT_EQ(called[4], "r1");
}

TEST_F(ReleaseTargetsTest, CallsTheOtherRoleBeforeTheHoldersRole) {
  (void)list_nodes({"r1", "r2", "r3", "w1"});
  add_holder("r1");
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, CallsASuspectedNodeLast) {
  (void)list_nodes({"r1", "w1", "w2", "w3"});
  add_holder("r1");
  nodes.record_failure(id("w1"));
  nodes.record_answer(id("w3"));
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "w3");
  EXPECT_EQ(call_next(), "w2");
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, NeverCallsAnUnlistedHolder) {
  (void)list_nodes({"r1", "w1"});
  add_holder("r1");
  (void)list_nodes({"w1"});
  EXPECT_EQ(call_next(), "w1");
}

TEST_F(ReleaseTargetsTest, CallsTheHolderWhenNoOtherNodeIsReady) {
  (void)list_nodes({"r1"});
  add_holder("r1");
  EXPECT_EQ(call_next(), "r1");
  EXPECT_EQ(call_next(), "r1");
}

TEST_F(ReleaseTargetsTest, HasNoTargetWithoutNodes) {
  (void)list_nodes({"r1"});
  add_holder("r1");
  (void)list_nodes({});
  EXPECT_EQ(next_target_name(), "none");
}

TEST_F(ReleaseTargetsTest, CallsOnlyHoldersAfterNotifyingOtherNodesForEightTimeouts) {
  (void)list_nodes({"r1", "w1"});
  add_holder("r1");
  pending.acknowledged = true;
  pending.calls_made = 1;
  EXPECT_EQ(next_target_name(), "w1");
  clock.time += 8 * settings.reservation_release_timeout;
  EXPECT_EQ(next_target_name(), "r1");
}

TEST_F(ReleaseTargetsTest, StartsEightCallsWithinTheTimeout) {
  (void)list_nodes({"r1"});
  add_holder("r1");
  EXPECT_EQ(schedule.retry_interval(pending), Micros(100ms));
  EXPECT_EQ(schedule.release_due_at(1s), Micros(1400ms));
}

TEST_F(ReleaseTargetsTest, RetriesTwiceAsOftenWhenTheHolderFailedAtTheLastContact) {
  (void)list_nodes({"r1"});
  add_holder("r1");
  nodes.record_failure(id("r1"));
  EXPECT_EQ(schedule.retry_interval(pending), Micros(50ms));
}

TEST_F(ReleaseTargetsTest, RetriesFasterAndExpiresSoonAfterTheShutdownDeadline) {
  (void)list_nodes({"r1"});
  add_holder("r1");
  pending.expires_at = clock.time + 30s;
  schedule.set_shutdown_deadline(clock.time);
  schedule.limit_to_shutdown(pending);
  EXPECT_EQ(schedule.retry_interval(pending), Micros(40ms));
  EXPECT_EQ(pending.expires_at, clock.time + 300ms);
}

}  // namespace
}  // namespace lemonroute::test
