// Clients of the gRPC front that cancel, disconnect or close their connection, and clients that do not read.
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
  void exchange_settings(const string& settings = {}) {
    peer->send(preface + frame(SETTINGS, NONE, 0, settings));
    ASSERT_TRUE(peer->until([&] { return peer->find(SETTINGS, 0) != nullptr; }));
    peer->send(frame(SETTINGS, ACK, 0, ""));
  }
  // The frames of a whole call.
  string call(std::uint32_t stream) {
    v1::GenerateRequest request;
    request.set_id("q" + std::to_string(stream));
    request.set_kind("k");
    request.set_prompt_tokens(100);
    request.set_body("{}");
    return frame(HEADERS, END_HEADERS, stream,
                 peer->block({{":method", "POST"},
                              {":scheme", "http"},
                              {":path", "/lemonroute.v1.Drafting/Generate"},
                              {":authority", "x"},
                              {"content-type", "application/grpc"},
                              {"te", "trailers"}})) +
           frame(DATA, END_STREAM, stream, grpc::frame(request.SerializeAsString()));
  }
  void send_request(std::uint32_t stream) {
    peer->send(call(stream));
    const auto attempts_before = nodes.begun.size();
    ASSERT_TRUE(peer->until([&] { return nodes.begun.size() > attempts_before; }));
  }
  // Completes the prefill; the request is then at a decode node.
  void finish_prefill() { nodes.begun.back().attempt->on_done({Outcome::prefill_done, 0, {}, {}}); }
  AttemptHandler& decode_handler() { return *nodes.begun.back().attempt; }
  // The same ids are used again.
  void free_ids_of_clients_that_left() {
    clock.at += std::chrono::milliseconds(100);
    core.run_timers();
  }
  bool all_requests_closed() {
    return peer->until([&] { return core.open_request_count() == 0; });
  }

  net::Loop loop;
  test::TestClock clock;
  test::TestNodes nodes;
  Router core{test::settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  grpc::Front front{core};
  grpc::Server server{loop, "127.0.0.1:0", 16};
  std::unique_ptr<Peer> peer;
};

TEST_F(GrpcFront, ResetStreamClosesItsRequest) {
  exchange_settings();
  send_request(1);
  finish_prefill();
  peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
  EXPECT_TRUE(all_requests_closed());
  EXPECT_FALSE(nodes.begun.back().open);
  EXPECT_EQ(nodes.released.size(), 1u);
  EXPECT_FALSE(server.idle());  // the connection stays open
}

// Guards against a stream that is paused for want of memory and never resumed.
TEST_F(GrpcFront, ExhaustedMemoryPausesTheNodeUntilItsEventHasLeft) {
  exchange_settings();
  send_request(1);
  finish_prefill();
  loop.memory().set_limit(1);
  for (const char* event : {"one", "two", "three"}) {
    decode_handler().on_data(event);
    EXPECT_TRUE(nodes.begun.back().paused);
    EXPECT_TRUE(peer->until([&] { return !nodes.begun.back().paused; }));
    EXPECT_TRUE(peer->until([&] { return peer->body(1).find(event) != string::npos; }));
  }
  // A new call holds memory itself, so it is refused.
  peer->send(frame(HEADERS, END_HEADERS, 3,
                   peer->block({{":method", "POST"},
                                {":scheme", "http"},
                                {":path", "/lemonroute.v1.Drafting/Generate"},
                                {":authority", "x"},
                                {"content-type", "application/grpc"},
                                {"te", "trailers"}})));
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  EXPECT_EQ(peer->field(3, "grpc-status"), "14");
  nodes.begun.back().attempt->on_done({Outcome::ok, 0, {}, {}});
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
}

// Guards against memory that the budget does not see: what has been handed to the connection of a client that
// does not read. All that the kernel has not taken counts.
TEST_F(GrpcFront, BytesThatAClientDoesNotReadCountAgainstTheMemoryBudget) {
  constexpr std::uint32_t largest_window = 0x7fffffff, initial_window = 65535;
  const int fd = Peer::dial(server.port());
  peer = std::make_unique<Peer>(loop, fd);
  exchange_settings(setting(4, largest_window));
  peer->send(frame(WINDOW_UPDATE, NONE, 0, number(largest_window - initial_window)));
  send_request(1);
  finish_prefill();
  const string event(8192, 'x');
  std::size_t written = 0;
  for (int rounds_paused = 0; rounds_paused < 100;) {
    if (!nodes.begun.back().paused) {
      decode_handler().on_data(event);
      written += event.size();
    } else {
      ++rounds_paused;
    }
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  }
  std::size_t in_kernel = 0;
  std::vector<char> buffer(1 << 20);
  for (ssize_t got; (got = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0;)
    in_kernel += static_cast<std::size_t>(got);
  ASSERT_GT(written, in_kernel);
  EXPECT_GE(loop.memory().held(), written - in_kernel);
}

// Guards against closing a connection without open calls while the end of an answer waits for its client,
// when places are short.
TEST_F(GrpcFront, ADismissedConnectionGetsTheEndOfItsAnswer) {
  constexpr std::uint32_t more_window = 1 << 20;
  exchange_settings();
  send_request(1);
  finish_prefill();
  decode_handler().on_data(string(100 * 1024, 'x'));  // more than the client's window takes
  decode_handler().on_done({Outcome::ok, 0, {}, {}});
  const auto rested =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(2100);  // then it may be dismissed
  while (std::chrono::steady_clock::now() < rested)
    peer->turn();
  server.limit(1);
  peer->send(frame(WINDOW_UPDATE, NONE, 0, number(more_window)) +
             frame(WINDOW_UPDATE, NONE, 1, number(more_window)));
  EXPECT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  EXPECT_TRUE(peer->until([&] { return server.idle(); }, 40000));
}

// Guards against attempts for calls whose client has closed the connection: its end is behind all that is
// unread.
TEST_F(GrpcFront, NothingIsStartedForAClientThatClosedWithMuchUnread) {
  exchange_settings();
  string calls;
  for (std::uint32_t stream = 1; stream < 200; stream += 2)
    calls += call(stream);
  peer->send(calls);  // the front does not run meanwhile
  peer->drop();
  for (int i = 0; i < 200; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  EXPECT_TRUE(nodes.begun.empty());
  EXPECT_EQ(core.open_request_count(), 0u);
  EXPECT_TRUE(server.idle());
}

TEST_F(GrpcFront, ClosedConnectionClosesItsRequests) {
  for (const bool half_close : {false, true}) {
    free_ids_of_clients_that_left();
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
    exchange_settings();
    send_request(1);
    half_close ? peer->end() : peer->drop();
    for (int i = 0; i < 4000 && core.open_request_count() > 0; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_EQ(core.open_request_count(), 0u);
    EXPECT_FALSE(nodes.begun.back().open);
  }
}

// GOAWAY without an error announces that no more calls follow, and open calls continue. With an error, the
// client has abandoned its open calls.
TEST_F(GrpcFront, GoawayClosesRequestsOnlyWithAnError) {
  exchange_settings();
  send_request(1);
  peer->send(frame(GOAWAY, NONE, 0, number(0) + number(NO_ERROR)));
  peer->settle();
  EXPECT_EQ(core.open_request_count(), 1u);
  finish_prefill();
  decode_handler().on_data("a");
  decode_handler().on_done({Outcome::ok, 0, {}, {}});
  EXPECT_TRUE(peer->until([&] { return peer->field(1, "grpc-status") == "0"; }));

  peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
  exchange_settings();
  send_request(1);
  peer->send(frame(GOAWAY, NONE, 0, number(0) + number(INTERNAL_ERROR)));
  EXPECT_TRUE(all_requests_closed());
  EXPECT_FALSE(nodes.begun.back().open);
}

// The front reads a cancellation from a client that reads none of its response, whether the HTTP/2
// flow-control window or the socket buffer is full.
TEST_F(GrpcFront, CancelIsReadFromAClientThatDoesNotRead) {
  for (const bool window_full : {true, false}) {
    free_ids_of_clients_that_left();
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
    exchange_settings(window_full ? setting(4, 0) : setting(4, 0x7fffffff));
    if (!window_full)
      peer->send(frame(WINDOW_UPDATE, NONE, 0, number(0x7fff0000)));
    send_request(1);
    finish_prefill();
    const string chunk(32 * 1024, 'x');
    for (int i = 0; i < 2000; ++i) {  // far more than the socket buffers hold
      decode_handler().on_data(chunk);
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);  // without reading at the peer
      if (window_full && i == 4)
        break;
    }
    EXPECT_TRUE(nodes.begun.back().open);
    peer->send(frame(RST_STREAM, NONE, 1, number(CANCEL)));
    for (int i = 0; i < 4000 && core.open_request_count() > 0; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    EXPECT_EQ(core.open_request_count(), 0u);
    EXPECT_FALSE(nodes.begun.back().open);
  }
}

// One stream has no flow-control window left; events of another stream on the same connection are still sent.
TEST_F(GrpcFront, BlockedStreamDoesNotDelayOtherStreams) {
  exchange_settings(setting(4, 100));
  send_request(1);
  finish_prefill();
  AttemptHandler& blocked = decode_handler();
  for (int i = 0; i < 4; ++i)
    blocked.on_data(string(40000, 'x'));
  peer->settle();
  send_request(3);
  finish_prefill();
  AttemptHandler& other = decode_handler();
  peer->send(frame(WINDOW_UPDATE, NONE, 3, number(100000)));
  for (const char* text : {"one", "two", "three"}) {
    other.on_data(text);
    EXPECT_TRUE(peer->until([&] { return peer->body(3).find(text) != string::npos; })) << text;
  }
  EXPECT_LE(peer->body(1).size(), 100u);
}

// The server closes without a TCP reset, which could discard the end of a response, while the client still
// sends.
TEST_F(GrpcFront, ClosingConnectionIsNotReset) {
  exchange_settings();
  send_request(1);
  server.stop_accepting();
  peer->settle();
  finish_prefill();
  decode_handler().on_data("a");
  decode_handler().on_done({Outcome::ok, 0, {}, {}});
  ASSERT_TRUE(peer->until([&] { return peer->closed; }));  // the server has closed its side
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  for (int i = 0; i < 20; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  peer->closed = false;
  peer->send(frame(PING, NONE, 0, "late one"));
  for (int i = 0; i < 20; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  errno = 0;
  peer->send(frame(PING, NONE, 0, "late two"));
  EXPECT_FALSE(peer->closed) << "the server reset the connection";
  peer->drop();
  for (int i = 0; i < 4000 && !server.idle(); ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  EXPECT_TRUE(server.idle());
}

}  // namespace
}  // namespace lemonroute::conformance
