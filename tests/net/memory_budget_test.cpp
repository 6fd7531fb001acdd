// MemoryBudget evicts the largest incomplete requests only, and BodyBuffer holds what it reports.
#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include "http/body_buffer.h"

namespace lemonroute::net {
namespace {

struct Holder {
  explicit Holder(MemoryBudget& budget) : account(budget, [this] { evict(); }) {
    account.set_evictable(true);
  }
  void evict() {
    evicted = true;
    account.hold(0);
  }
  bool evicted = false;
  MemoryBudget::Account account;
};

struct Budget : ::testing::Test {
  Budget() { budget->set_limit(100); }
  const std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>();
};

TEST_F(Budget, EvictsTheLargestUntilTheRestFits) {
  Holder small(*budget), medium(*budget), large(*budget);
  large.account.hold(50);
  medium.account.hold(40);
  small.account.hold(10);
  EXPECT_EQ(budget->held(), 100u);
  EXPECT_FALSE(large.evicted);
  small.account.hold(30);
  EXPECT_TRUE(large.evicted);
  EXPECT_FALSE(medium.evicted || small.evicted);
  EXPECT_EQ(budget->held(), 70u);
}

TEST_F(Budget, EvictsTheHolderThatGrewIfItIsTheLargest) {
  Holder first(*budget), second(*budget);
  first.account.hold(40);
  second.account.hold(80);
  EXPECT_TRUE(second.evicted);
  EXPECT_FALSE(first.evicted);
}

TEST_F(Budget, KeepsHoldersThatMayNotBeEvicted) {
  Holder complete(*budget), incomplete(*budget);
  complete.account.hold(90);
  complete.account.set_evictable(false);
  incomplete.account.hold(20);
  EXPECT_FALSE(complete.evicted);
  EXPECT_TRUE(incomplete.evicted);
  complete.account.hold(200);
  EXPECT_FALSE(complete.evicted);
  EXPECT_TRUE(budget->is_exhausted());
}

TEST_F(Budget, ALowerLimitEvictsAtOnce) {
  Holder first(*budget), second(*budget);
  first.account.hold(40);
  second.account.hold(50);
  budget->set_limit(45);
  EXPECT_TRUE(second.evicted);
  EXPECT_FALSE(first.evicted);
}

TEST_F(Budget, ADestroyedAccountHoldsNothing) {
  { Holder(*budget).account.hold(60); }
  EXPECT_EQ(budget->held(), 0u);
  Holder other(*budget);
  other.account.hold(100);
  EXPECT_FALSE(other.evicted);
}

TEST_F(Budget, ATextCountsUntilItsLastOwnerReleasesIt) {
  auto text = budgeted_text(*budget, std::string(60, 'x'));
  const auto other = text;
  text.reset();
  EXPECT_GE(budget->held(), 60u);
  EXPECT_EQ(other->size(), 60u);
}

TEST(BodyBuffer, JoinsPiecesAcrossBlocks) {
  http::BodyBuffer buffer;
  std::string sent;
  for (int i = 0; i < 1000; ++i) {
    const std::string piece(static_cast<std::size_t>(i % 37), static_cast<char>('a' + i % 26));
    buffer.append(piece);
    sent += piece;
  }
  EXPECT_GE(buffer.capacity(), sent.size());
  EXPECT_LT(buffer.capacity(), sent.size() + 4096);
  EXPECT_EQ(buffer.take(), sent);
  EXPECT_EQ(buffer.capacity(), 0u);
  buffer.append(std::string(3 * 4096, 'y'));
  EXPECT_EQ(buffer.capacity(), 3u * 4096);
  EXPECT_EQ(buffer.take(), std::string(3 * 4096, 'y'));
  EXPECT_EQ(buffer.take(), "");
}

}  // namespace
}  // namespace lemonroute::net
