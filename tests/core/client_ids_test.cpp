// ClientIds: one request at a time has a client id, here and at the other processes of the router.
#include "core/router/client_ids.h"

#include <gtest/gtest.h>

#include <set>

#include "core/class_test_support.h"

namespace lemonroute::test {
namespace {

// The locks of two processes: what one has locked, the other cannot lock.
struct FakeLocks : RequestIdLocks {
  explicit FakeLocks(std::multiset<std::string>& locked) : locked(locked) {}
  bool lock(const std::string& id) override {
    if (locked.contains(id))
      return false;
    locked.insert(id);
    return true;
  }
  void lock_transferred(const std::string& id) override { locked.insert(id); }
  void unlock(const std::string& id) override { locked.erase(locked.find(id)); }
  std::multiset<std::string>& locked;  // by either process
};

struct ClientIdsTest : ::testing::Test, RouterClassFixture {
  ClientIdsTest() {
    here.set_locks(&locks_here);
    there.set_locks(&locks_there);
  }
  std::multiset<std::string> locked;
  FakeLocks locks_here{locked}, locks_there{locked};
  ClientIds here{context}, there{context};
};

TEST_F(ClientIdsTest, AnIdIsClaimedOnceUntilItIsReleased) {
  EXPECT_TRUE(here.claim("q"));
  EXPECT_FALSE(here.claim("q"));
  here.release("q");
  EXPECT_TRUE(here.claim("q"));
}

TEST_F(ClientIdsTest, AnIdThatAnotherProcessUsesIsNotClaimed) {
  EXPECT_TRUE(there.claim("q"));
  EXPECT_FALSE(here.claim("q"));
  EXPECT_TRUE(here.claim("other"));
  there.release("q");
  EXPECT_TRUE(here.claim("q"));
}

// A refused claim must not take the lock away from the process that holds it.
TEST_F(ClientIdsTest, ARefusedClaimLeavesTheOtherProcesssLock) {
  EXPECT_TRUE(there.claim("q"));
  EXPECT_FALSE(here.claim("q"));
  here.release("q");
  EXPECT_FALSE(here.claim("q"));
}

TEST_F(ClientIdsTest, ATransferredIdStaysClaimedWhenItsSenderReleasesIt) {
  EXPECT_TRUE(there.claim("q"));
  EXPECT_TRUE(here.claim_transferred("q"));
  there.release("q");
  EXPECT_FALSE(there.claim("q"));
  EXPECT_FALSE(here.claim("q"));
  here.release("q");
  EXPECT_TRUE(there.claim("q"));
}

TEST_F(ClientIdsTest, AStreamIsNotTakenWhileItsIdIsUsedHere) {
  EXPECT_TRUE(here.claim("q"));
  EXPECT_FALSE(here.claim_transferred("q"));
}

// The node of the closed call has not detected its end yet, and neither process may use the id.
TEST_F(ClientIdsTest, AnIdIsReleasedSomeTimeAfterItsCallWasClosed) {
  EXPECT_TRUE(here.claim("q"));
  here.release_after_close("q", clock.time);
  clock.time += 99ms;
  timers.run_due(clock.time);
  EXPECT_FALSE(here.claim("q"));
  EXPECT_FALSE(there.claim("q"));
  clock.time += 1ms;
  timers.run_due(clock.time);
  EXPECT_TRUE(there.claim("q"));
}

TEST_F(ClientIdsTest, AnIdWhoseCallWasClosedLongAgoIsReleasedAtOnce) {
  EXPECT_TRUE(here.claim("q"));
  here.release_after_close("q", clock.time - 1s);
  EXPECT_TRUE(here.claim("q"));
}

struct ClientIdsOfOneProcess : ::testing::Test, RouterClassFixture {};

TEST_F(ClientIdsOfOneProcess, NeedNoLocks) {
  ClientIds ids(context);
  EXPECT_TRUE(ids.claim("q"));
  EXPECT_FALSE(ids.claim("q"));
  ids.release("q");
  EXPECT_TRUE(ids.claim_transferred("q"));
}

}  // namespace
}  // namespace lemonroute::test
