// RequestTable: ids, deadlines and removal of open requests.
#include "core/router/request_table.h"

#include <gtest/gtest.h>

#include <memory>

#include "core/class_test_support.h"

namespace lemonroute::test {
namespace {

struct NullClient : Client {
  bool on_data(std::string_view) override { return true; }
  void finish() override {}
  void reject(Micros) override {}
  void fail(FailureReason) override {}
  void abort_stream() override {}
};

struct RequestTableTest : ::testing::Test {
  RequestState& add(const std::string& client_id) {
    return table.add({client_id, "/", nullptr}, client, {"class", 3, std::make_shared<RequestCounts>()});
  }
  NullClient client;
  RequestTable table;
};

TEST_F(RequestTableTest, FindsAnOpenRequest) {
  RequestState& request = add("q");
  EXPECT_EQ(table.find(request.id), &request);
  EXPECT_EQ(request.max_attempts, 3u);
  EXPECT_EQ(request.request_class, "class");
}

TEST_F(RequestTableTest, AssignsTheNextFreeIdWhenTheIdIsTaken) {
  const RequestId taken = add("q").id;
  RequestState& request = add("q");  // the same hash
  EXPECT_EQ(request.id, taken + 1);
  EXPECT_NE(table.find(taken), &request);
}

TEST_F(RequestTableTest, EraseRemovesTheRequest) {
  const RequestId id = add("q").id;
  table.erase(id);
  EXPECT_EQ(table.find(id), nullptr);
  EXPECT_TRUE(table.empty());
}

TEST_F(RequestTableTest, ClosedClientIsNotCountedAsWaitingWhileItsRequestIsOpen) {
  RequestState& request = add("q");
  EXPECT_EQ(table.waiting_clients(), 1u);
  table.close_client(request);
  EXPECT_EQ(table.waiting_clients(), 0u);
  EXPECT_EQ(request.client, nullptr);
  EXPECT_FALSE(table.empty());
}

TEST_F(RequestTableTest, ShutdownDeadlineLimitsOpenAndLaterRequests) {
  RequestState& early = add("early");
  RequestState& late = add("late");
  table.set_deadline(early, 1s);
  table.set_deadline(late, 9s);
  table.set_shutdown_deadline(5s);
  RequestState& later = add("later");
  table.set_deadline(later, 9s);
  EXPECT_EQ(early.deadline, Micros(1s));
  EXPECT_EQ(late.deadline, Micros(5s));
  EXPECT_EQ(later.deadline, Micros(5s));
}

TEST_F(RequestTableTest, TakeTouchedReturnsMarkedRequestsInOrderAndClearsThem) {
  table.mark_for_cleanup(7);
  table.mark_for_cleanup(3);
  table.mark_for_cleanup(7);
  EXPECT_EQ(table.take_cleanup_candidates(), (std::vector<RequestId>{7, 3, 7}));
  EXPECT_TRUE(table.take_cleanup_candidates().empty());
}

}  // namespace
}  // namespace lemonroute::test
