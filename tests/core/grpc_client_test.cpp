// Calls to gRPC nodes that are destroyed before they are sent: nothing of them is written to the connection.
#include <gtest/gtest.h>

#include <csignal>

#include "conformance/peer.h"
#include "grpc/node_client.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::conformance {
namespace {

struct RecordingHandler : AttemptHandler {
  void on_request_written() override {}
  void on_progress() override { ++parts; }
  void on_data(std::string_view) override { ++events; }
  void on_done(AttemptResult result) override {
    outcome = result.outcome;
    call.reset();
  }
  std::optional<Outcome> outcome;
  int parts = 0, events = 0;
  std::unique_ptr<Call> call;
};

struct GrpcUnsentCall : ::testing::Test {
  GrpcUnsentCall() : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(listener, 8), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    node.name = "n";
    node.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~GrpcUnsentCall() override { close(listener); }
  void start_attempt(RecordingHandler& handler, const string& id) {
    handler.call = client.start_attempt(node, {id, "/", std::make_shared<string>("{}")},
                                        std::chrono::seconds(3), handler);
  }
  // Accepts the connection as the node, with a limit of concurrent streams.
  void accept_connection(std::uint32_t max_streams) {
    int fd = -1;
    for (int i = 0; i < 4000 && fd < 0; ++i) {
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      fd = ::accept(listener, nullptr, nullptr);
    }
    ASSERT_GE(fd, 0);
    peer = std::make_unique<Peer>(loop, fd);
    ASSERT_TRUE(peer->preface_in());
    peer->send(frame(SETTINGS, NONE, 0, setting(3, max_streams)));
    ASSERT_TRUE(peer->until([&] { return peer->find(SETTINGS, 0) != nullptr; }));
    peer->send(frame(SETTINGS, ACK, 0, ""));
    peer->settle();
  }
  // Returns the ids of all received requests, in order.
  std::vector<string> received_ids() {
    std::vector<string> ids;
    for (const auto& received : peer->seen)
      if (received.type == HEADERS)
        ids.push_back(string(grpc::find(received.headers, "req-id")));
    return ids;
  }
  net::Loop loop;
  int listener;
  grpc::NodeClient client{loop, grpc::Session::Limits{std::chrono::seconds(5)}};
  Node node;
  std::unique_ptr<Peer> peer;
};
using Ids = std::vector<string>;

TEST_F(GrpcUnsentCall, IsNotWrittenWhenDestroyedBeforeTheConnectionIsEstablished) {
  RecordingHandler destroyed, kept;
  start_attempt(destroyed, "destroyed");
  EXPECT_TRUE(destroyed.call->not_sent());
  // The call is destroyed in the loop iteration in which the connection is established, after the session's
  // own deferred job that submits pending requests.
  loop.defer([&] {
    EXPECT_TRUE(destroyed.call->not_sent());
    destroyed.call.reset();
  });
  event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  accept_connection(8);
  start_attempt(kept, "kept");
  ASSERT_TRUE(peer->until([&] { return !received_ids().empty(); }));
  peer->settle();
  EXPECT_EQ(received_ids(), Ids{"kept"});
  EXPECT_FALSE(kept.call->not_sent());
}

// Guards against cutting a stream whose node is still writing a message, slowly.
TEST_F(GrpcUnsentCall, ReportsThePartsOfAMessageThatArrives) {
  RecordingHandler handler;
  start_attempt(handler, "q");
  accept_connection(8);
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  v1::RunEvent event;
  event.set_data("an event");
  const string message = grpc::frame(event.SerializeAsString());
  peer->send(frame(HEADERS, END_HEADERS, 1,
                   peer->block({{":status", "200"}, {"content-type", "application/grpc"}})) +
             frame(DATA, NONE, 1, message));
  ASSERT_TRUE(peer->until([&] { return handler.events == 1; }));
  const int parts = handler.parts;
  peer->send(frame(DATA, NONE, 1, message.substr(0, 3)));
  EXPECT_TRUE(peer->until([&] { return handler.parts > parts; }));
  EXPECT_EQ(handler.events, 1);
}

TEST_F(GrpcUnsentCall, IsNotWrittenWhenDestroyedWhileWaitingForAStream) {
  RecordingHandler first, destroyed, last;
  start_attempt(first, "first");
  accept_connection(1);
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_FALSE(first.call->not_sent());
  start_attempt(destroyed, "destroyed");
  peer->settle();
  EXPECT_TRUE(destroyed.call->not_sent());
  destroyed.call.reset();
  start_attempt(last, "last");
  peer->settle();
  EXPECT_EQ(received_ids(), Ids{"first"});
  peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
  ASSERT_TRUE(peer->until([&] { return received_ids().size() > 1; }));
  peer->settle();
  EXPECT_EQ(received_ids(), (Ids{"first", "last"}));
  EXPECT_EQ(first.outcome, Outcome::reset);
}

}  // namespace
}  // namespace lemonroute::conformance
