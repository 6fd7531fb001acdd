// Clients of the gRPC front that go, in each way that they can, and clients that take nothing.
#include <gtest/gtest.h>

#include <csignal>

#include "base/log.h"
#include "conformance/peer.h"
#include "core/router.h"
#include "grpc/front.h"
#include "grpc/server.h"
#include "net/core_bed.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::conformance {
namespace {

struct GrpcFront : ::testing::Test {
  GrpcFront() {
    logging::set_level(logging::Level::error);
    std::signal(SIGPIPE, SIG_IGN);
    nodes.many = true;
    core.update_endpoints(EndpointListKind::full, 1, {test::Bed::node("r"), test::Bed::node("w")});
    server.add(front);
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
  }
  void hello(const string& settings = {}) {
    peer->send(preface + frame(SETTINGS, NONE, 0, settings));
    ASSERT_TRUE(peer->until([&] { return peer->find(SETTINGS, 0) != nullptr; }));
    peer->send(frame(SETTINGS, ACK, 0, ""));
  }
  void ask(std::uint32_t stream) {
    v1::GenerateRequest request;
    request.set_id("q" + std::to_string(stream));
    request.set_kind("k");
    request.set_prompt_tokens(100);
    request.set_body("{}");
    peer->send(frame(HEADERS, END_HEADERS, stream,
                     peer->block({{":method", "POST"},
                                  {":scheme", "http"},
                                  {":path", "/lemonroute.v1.Drafting/Generate"},
                                  {":authority", "x"},
                                  {"content-type", "application/grpc"},
                                  {"te", "trailers"}})) +
               frame(DATA, END_STREAM, stream, grpc::frame(request.SerializeAsString())));
    const auto before = nodes.begun.size();
    ASSERT_TRUE(peer->until([&] { return nodes.begun.size() > before; }));
  }
  // Its prompt is read, and a writer has it.
  void read() { nodes.begun.back().attempt->on_done({Outcome::prefill_done, 0, {}, {}}); }
  AttemptHandler& writer() { return *nodes.begun.back().attempt; }
  bool gone() {
    return peer->until([&] { return core.open_requests() == 0; });
  }

  net::Loop loop;
  test::TestClock clock;
  test::TestNodes nodes;
  Router core{test::settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  grpc::Front front{core};
  grpc::Server server{loop, "127.0.0.1:0", 16};
  std::unique_ptr<Peer> peer;
};

TEST_F(GrpcFront, AResetCallIsLetGoOf) {
  hello();
  ask(1);
  read();
  peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
  EXPECT_TRUE(gone());
  EXPECT_FALSE(nodes.begun.back().open);
  EXPECT_EQ(nodes.released.size(), 1u);
  EXPECT_FALSE(server.idle());  // the connection stays
}

TEST_F(GrpcFront, CallsOfAConnectionThatEndsAreLetGoOf) {
  for (const bool half : {false, true}) {
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
    hello();
    ask(1);
    half ? peer->end() : peer->drop();
    for (int i = 0; i < 4000 && core.open_requests() > 0; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_EQ(core.open_requests(), 0u);
    EXPECT_FALSE(nodes.begun.back().open);
  }
}

// GOAWAY says that no more calls come; those that are open go on. With an error it says that the client has
// given up.
TEST_F(GrpcFront, GoawayEndsCallsOnlyWithAnError) {
  hello();
  ask(1);
  peer->send(frame(GOAWAY, NONE, 0, number(0) + number(NO_ERROR)));
  peer->settle();
  EXPECT_EQ(core.open_requests(), 1u);
  read();
  writer().on_data("a");
  writer().on_done({Outcome::ok, 0, {}, {}});
  EXPECT_TRUE(peer->until([&] { return peer->field(1, "grpc-status") == "0"; }));

  peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
  hello();
  ask(1);
  peer->send(frame(GOAWAY, NONE, 0, number(0) + number(INTERNAL_ERROR)));
  EXPECT_TRUE(gone());
  EXPECT_FALSE(nodes.begun.back().open);
}

// A client that takes nothing of its answer, by its window or by its socket, is heard all the same.
TEST_F(GrpcFront, ACancelIsHeardFromAClientThatTakesNothing) {
  for (const bool window : {true, false}) {
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
    hello(window ? setting(4, 0) : setting(4, 0x7fffffff));
    if (!window)
      peer->send(frame(WINDOW_UPDATE, NONE, 0, number(0x7fff0000)));
    ask(1);
    read();
    const string much(32 * 1024, 'x');
    for (int i = 0; i < 2000; ++i) {  // far more than sockets hold
      writer().on_data(much);
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);  // and the peer does not read
      if (window && i == 4)
        break;
    }
    EXPECT_TRUE(nodes.begun.back().open);
    peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
    for (int i = 0; i < 4000 && core.open_requests() > 0; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_EQ(core.open_requests(), 0u);
    EXPECT_FALSE(nodes.begun.back().open);
  }
}

// One stream's client takes nothing; the other stream's events pass it, on the same connection.
TEST_F(GrpcFront, AStreamThatIsNotTakenHoldsNoOther) {
  hello(setting(4, 100));
  ask(1);
  read();
  AttemptHandler& slow = writer();
  for (int i = 0; i < 4; ++i)
    slow.on_data(string(40000, 'x'));
  peer->settle();
  ask(3);
  read();
  AttemptHandler& quick = writer();
  peer->send(frame(WINDOW_UPDATE, NONE, 3, number(100000)));
  for (const char* text : {"one", "two", "three"}) {
    quick.on_data(text);
    EXPECT_TRUE(peer->until([&] { return peer->body(3).find(text) != string::npos; })) << text;
  }
  EXPECT_LE(peer->body(1).size(), 100u);
}

// The end of an answer is not lost to what the client sends while the connection ends.
TEST_F(GrpcFront, AConnectionThatHasEndedIsNotReset) {
  hello();
  ask(1);
  server.stop_accepting();
  peer->settle();
  read();
  writer().on_data("a");
  writer().on_done({Outcome::ok, 0, {}, {}});
  ASSERT_TRUE(peer->until([&] { return peer->closed; }));  // the end has come
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  for (int i = 0; i < 20; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  peer->closed = false;
  peer->send(frame(PING, NONE, 0, "late one"));
  for (int i = 0; i < 20; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  errno = 0;
  peer->send(frame(PING, NONE, 0, "late two"));
  EXPECT_FALSE(peer->closed) << "reset";
  peer->drop();
  for (int i = 0; i < 4000 && !server.idle(); ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  EXPECT_TRUE(server.idle());
}

}  // namespace
}  // namespace lemonroute::conformance
