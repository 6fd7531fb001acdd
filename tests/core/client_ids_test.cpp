// ClientIds: one request at a time has a client id, here and at the other processes of the router.
#include "core/router/client_ids.h"

#include <gtest/gtest.h>

#include <set>

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

struct ClientIdsTest : ::testing::Test {
  ClientIdsTest() {
    here.set_locks(&locks_here);
    there.set_locks(&locks_there);
  }
  std::multiset<std::string> locked;
  FakeLocks locks_here{locked}, locks_there{locked};
  ClientIds here, there;
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

TEST(ClientIdsOfOneProcess, NeedNoLocks) {
  ClientIds ids;
  EXPECT_TRUE(ids.claim("q"));
  EXPECT_FALSE(ids.claim("q"));
  ids.release("q");
  EXPECT_TRUE(ids.claim_transferred("q"));
}

}  // namespace
}  // namespace lemonroute::test
