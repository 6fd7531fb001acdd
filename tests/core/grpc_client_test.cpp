// Calls to gRPC nodes that are let go of before they have left: nothing of them is ever written.
#include <gtest/gtest.h>

#include <csignal>

#include "conformance/peer.h"
#include "grpc/node_client.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::conformance {
namespace {

struct Noted : AttemptHandler {
  void on_request_written() override {}
  void on_data(std::string_view) override {}
  void on_done(AttemptResult result) override {
    outcome = result.outcome;
    call.reset();
  }
  std::optional<Outcome> outcome;
  std::unique_ptr<Call> call;
};

struct GrpcUnsent : ::testing::Test {
  GrpcUnsent() : door(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(door, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(door, 8), 0);
    getsockname(door, reinterpret_cast<sockaddr*>(&at), &size);
    node.name = "n";
    node.address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~GrpcUnsent() override { close(door); }
  void begin(Noted& noted, const string& id) {
    noted.call =
        client.start_attempt(node, {id, "/", std::make_shared<string>("{}")}, std::chrono::seconds(3), noted);
  }
  // The node, once it has taken the connection.
  void accept(std::uint32_t streams) {
    int fd = -1;
    for (int i = 0; i < 4000 && fd < 0; ++i) {
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      fd = ::accept(door, nullptr, nullptr);
    }
    ASSERT_GE(fd, 0);
    peer = std::make_unique<Peer>(loop, fd);
    ASSERT_TRUE(peer->preface_in());
    peer->send(frame(SETTINGS, NONE, 0, setting(3, streams)));
    ASSERT_TRUE(peer->until([&] { return peer->find(SETTINGS, 0) != nullptr; }));
    peer->send(frame(SETTINGS, ACK, 0, ""));
    peer->settle();
  }
  // The ids of all requests that have come, in order.
  std::vector<string> asked() {
    std::vector<string> ids;
    for (const auto& one : peer->seen)
      if (one.type == HEADERS)
        ids.push_back(string(grpc::find(one.headers, "req-id")));
    return ids;
  }
  net::Loop loop;
  int door;
  grpc::NodeClient client{loop, grpc::Session::Limits{std::chrono::seconds(5)}};
  Node node;
  std::unique_ptr<Peer> peer;
};
using Ids = std::vector<string>;

TEST_F(GrpcUnsent, WhatIsLetGoOfBeforeTheConnectionIsUpIsNotWritten) {
  Noted gone, stays;
  begin(gone, "gone");
  EXPECT_TRUE(gone.call->not_sent());
  // In the turn of the loop in which the connection comes up, and behind the session's own job that hands on
  // what is to be sent.
  loop.defer([&] {
    EXPECT_TRUE(gone.call->not_sent());
    gone.call.reset();
  });
  event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  accept(8);
  begin(stays, "stays");
  ASSERT_TRUE(peer->until([&] { return !asked().empty(); }));
  peer->settle();
  EXPECT_EQ(asked(), Ids{"stays"});
  EXPECT_FALSE(stays.call->not_sent());
}

TEST_F(GrpcUnsent, WhatIsLetGoOfWhileItWaitsForAPlaceIsNotWritten) {
  Noted first, gone, last;
  begin(first, "first");
  accept(1);
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_FALSE(first.call->not_sent());
  begin(gone, "gone");
  peer->settle();
  EXPECT_TRUE(gone.call->not_sent());
  gone.call.reset();
  begin(last, "last");
  peer->settle();
  EXPECT_EQ(asked(), Ids{"first"});
  peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
  ASSERT_TRUE(peer->until([&] { return asked().size() > 1; }));
  peer->settle();
  EXPECT_EQ(asked(), (Ids{"first", "last"}));
  EXPECT_EQ(first.outcome, Outcome::reset);
}

}  // namespace
}  // namespace lemonroute::conformance
