// Router: clients that leave, ids that come again, and streams of nodes that write slowly.
#include <gtest/gtest.h>

#include "base/log.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

// Guards against running an id again at another node before the first one has detected that its client left.
struct IdOfAClientThatLeft : ::testing::Test {
  IdOfAClientThatLeft() { logging::set_level(logging::Level::error); }
  Router::SubmitResult submit_again() {
    ClientRequest client_request;
    client_request.prompt = {bed.next_id, "/", std::make_shared<std::string>("{}")};
    client_request.request_class = "k";
    RequestId id = 0;
    return bed.core.submit(client_request, other_client, id);
  }
  Bed bed;
  TestClient other_client;
};

TEST_F(IdOfAClientThatLeft, IsRejectedUntilTheNodeHasDetectedTheEnd) {
  bed.take();
  bed.core.client_disconnected(bed.id);
  EXPECT_EQ(submit_again(), Router::SubmitResult::duplicate_id);
  bed.pass(100ms);
  EXPECT_EQ(submit_again(), Router::SubmitResult::accepted);
}

// The other side: an id whose request was answered by its node may be used at once.
TEST_F(IdOfAClientThatLeft, IsAcceptedAtOnceAfterAnAnswer) {
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.done(Outcome::ok);
  EXPECT_EQ(submit_again(), Router::SubmitResult::accepted);
}

// Guards against attempts for a client that has closed its connection when the front has not read that yet.
struct LeavingClient : TestClient {
  bool has_disconnected() const override { return disconnected; }
  void on_disconnected() override { ++notified; }
  bool disconnected = false;
  int notified = 0;
};

TEST(ClientThatHasDisconnected, GetsNoFurtherAttempt) {
  logging::set_level(logging::Level::error);
  Bed bed;
  LeavingClient client;
  ClientRequest client_request;
  client_request.prompt = {"q", "/", std::make_shared<std::string>("{}")};
  client_request.request_class = "k";
  RequestId id = 0;
  ASSERT_EQ(bed.core.submit(client_request, client, id), Router::SubmitResult::accepted);
  client.disconnected = true;
  bed.done(Outcome::prefill_done);
  EXPECT_EQ(bed.nodes.begun.size(), 1u);
  EXPECT_EQ(client.notified, 1);
  EXPECT_EQ(client.answers, 0);
  EXPECT_EQ(bed.core.open_request_count(), 0u);
  EXPECT_EQ(bed.nodes.released.size(), 1u);  // what the prefill has left
}

TEST(ClientThatHasDisconnected, GetsNoFirstAttempt) {
  logging::set_level(logging::Level::error);
  Bed bed;
  LeavingClient client;
  client.disconnected = true;
  ClientRequest client_request;
  client_request.prompt = {"q", "/", std::make_shared<std::string>("{}")};
  client_request.request_class = "k";
  RequestId id = 0;
  ASSERT_EQ(bed.core.submit(client_request, client, id), Router::SubmitResult::accepted);
  EXPECT_TRUE(bed.nodes.begun.empty());
  EXPECT_EQ(client.notified, 1);
  EXPECT_TRUE(bed.core.idle());
}

// Guards against cutting a stream whose node writes an event slowly.
struct SlowStream : ::testing::Test {
  SlowStream() {
    logging::set_level(logging::Level::error);
    bed.take();
    bed.done(Outcome::prefill_done);
    bed.nodes.begun.back().attempt->on_data("a");
  }
  Bed bed;
};

TEST_F(SlowStream, IsNotCutWhileItsNodeWritesAnEvent) {
  for (int part = 0; part < 3; ++part) {
    bed.pass(4s);
    bed.nodes.begun.back().attempt->on_progress();
  }
  EXPECT_EQ(bed.client.answers, 0);
  bed.pass(4500ms);
  EXPECT_EQ(bed.client.seen, "a|cut");
}

// A part that arrives after reading was paused must not start the time in which the next one is due.
TEST_F(SlowStream, IsNotCutWhileItsClientIsSlow) {
  bed.client.slow = true;
  bed.nodes.begun.back().attempt->on_data("b");
  bed.nodes.begun.back().attempt->on_progress();
  bed.pass(10s);
  EXPECT_EQ(bed.client.answers, 0);
}

}  // namespace
}  // namespace lemonroute::test
