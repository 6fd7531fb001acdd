// The gRPC front alone: a drain × what its clients are sending, and the time that a request takes to arrive.
#include <csignal>

#include "base/log.h"
#include "crossings/grpc/front_client.h"

namespace lemonroute::crossings {
namespace {

using std::chrono::milliseconds;

struct NotedNodes : test::TestNodes {
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                      AttemptHandler& attempt) override {
    given.push_back(within);
    return TestNodes::start_attempt(node, prompt, within, attempt);
  }
  std::vector<Micros> given;
};

struct GrpcFrontCrossings : ::testing::Test {
  GrpcFrontCrossings() {
    logging::set_level(logging::Level::error);
    std::signal(SIGPIPE, SIG_IGN);
    nodes.many = true;
    core.update_endpoints(EndpointListKind::full, 1, {test::Bed::node("r"), test::Bed::node("w")});
    server.add(front);
    peer = std::make_unique<Peer>(loop, Peer::dial(server.port()));
  }
  bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }
  bool begun(std::size_t count) {
    return peer->until([&] { return nodes.begun.size() >= count; });
  }
  // The drain begins, and its client has read so.
  void drain() {
    server.stop_accepting();
    ASSERT_TRUE(peer->until([&] { return peer->find(GOAWAY, 0) && ping(); }));
  }
  const Seen* ping() const {
    for (const auto& one : peer->seen)
      if (one.type == PING && !(one.flags & ACK))
        return &one;
    return nullptr;
  }
  string pong() const { return frame(PING, ACK, 0, ping()->payload); }
  // The last stream that counts, by the last GOAWAY.
  std::uint32_t last_stream() const {
    std::uint32_t last = 0x7fffffff;
    for (const auto& one : peer->seen)
      if (one.type == GOAWAY)
        last = static_cast<std::uint32_t>(std::stoul(hex(one.payload.substr(0, 4)), nullptr, 16));
    return last;
  }
  static string hex(const string& bytes) {
    string out;
    for (const char byte : bytes) {
      char two[3];
      std::snprintf(two, sizeof two, "%02x", static_cast<unsigned char>(byte));
      out += two;
    }
    return out;
  }
  // The attempt that was begun last, at a prefill node, and then at a decode node, ends well.
  void serve() {
    const std::size_t before = nodes.begun.size();
    nodes.begun.back().attempt->on_done({Outcome::prefill_done, 0, {}, {}});
    ASSERT_EQ(nodes.begun.size(), before + 1);
    nodes.begun.back().attempt->on_data("a");
    nodes.begun.back().attempt->on_done({Outcome::ok, 0, {}, {}});
  }

  net::Loop loop;
  test::TestClock clock;
  NotedNodes nodes;
  Router core{test::settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  grpc::Front front{core};
  grpc::Server server{loop, "127.0.0.1:0", 16};
  std::unique_ptr<Peer> peer;
};

// "No more" is decided × a request behind it in the same piece: its client reads that it has not been
// handled.
TEST_F(GrpcFrontCrossings, ARequestAboveTheLastStreamOfGoawayIsNotSentOn) {
  ASSERT_TRUE(hello(*peer));
  drain();
  peer->send(pong() + call(*peer, 1, "late"));
  ASSERT_TRUE(peer->until([&] { return last_stream() != 0x7fffffff; }));
  turn_often(loop);
  EXPECT_EQ(last_stream(), 0u);
  EXPECT_TRUE(nodes.begun.empty());
}

// The other order: it counts, and is served.
TEST_F(GrpcFrontCrossings, ARequestBeforeTheLastStreamIsDecidedIsServed) {
  ASSERT_TRUE(hello(*peer));
  drain();
  peer->send(call(*peer, 1, "crossed") + pong());
  ASSERT_TRUE(begun(1));
  serve();
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  EXPECT_EQ(last_stream(), 1u);
}

// Its HEADERS came before and its DATA, in pieces, after: it counts too.
TEST_F(GrpcFrontCrossings, ARequestWhoseDataComesAfterTheLastCallIsServed) {
  ASSERT_TRUE(hello(*peer));
  drain();
  peer->send(call_head(*peer, 1) + pong());
  ASSERT_TRUE(peer->until([&] { return last_stream() == 1; }));
  const string message = call_message("pieces");
  for (const char byte : message.substr(0, message.size() - 1)) {
    peer->send(frame(DATA, NONE, 1, string(1, byte)));
    peer->turn();
  }
  EXPECT_TRUE(nodes.begun.empty());
  peer->send(frame(DATA, END_STREAM, 1, message.substr(message.size() - 1)));
  ASSERT_TRUE(begun(1));
  serve();
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
}

// A drain does not wait until it is killed for a request that does not come to its end: it has not run.
TEST_F(GrpcFrontCrossings, ADrainEndsRequestsThatDoNotComeWhole) {
  ASSERT_TRUE(hello(*peer));
  drain();
  peer->send(call_head(*peer, 1) + pong());
  const auto start = SteadyClock::now();
  ASSERT_TRUE(until([&] {
    peer->turn();
    return server.idle() || peer->closed;
  }));
  constexpr std::chrono::seconds before_the_kill{3};
  EXPECT_LT(SteadyClock::now() - start, before_the_kill);
  const Seen* reset = peer->find(RST_STREAM, 1);
  ASSERT_TRUE(reset);
  EXPECT_EQ(peer->code(*reset), REFUSED_STREAM);
  EXPECT_TRUE(nodes.begun.empty());
}

// An answer that was whole before its request was × a drain: the stream is over for both.
TEST_F(GrpcFrontCrossings, ADrainEndsAnsweredStreamsWhoseRequestDoesNotEnd) {
  ASSERT_TRUE(hello(*peer));
  peer->send(call_head(*peer, 1, {}, "/no.such/Method"));
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  drain();
  peer->send(pong());
  EXPECT_TRUE(until([&] {
    peer->turn();
    return peer->closed;
  }));
}

// A connection in the listen queue × the listener closes: it was made to us, and is served.
TEST_F(GrpcFrontCrossings, AConnectionInTheQueueIsServedByADrain) {
  const auto port = server.port();
  peer = std::make_unique<Peer>(loop, Peer::dial(port));  // by the kernel; nobody has taken it
  peer->send(preface + frame(SETTINGS, NONE, 0, "") + call(*peer, 1, "queued"));
  server.stop_accepting();
  ASSERT_TRUE(begun(1));
  serve();
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  // The other order: whoever connects behind it is turned away by the kernel and asks elsewhere.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_NE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  close(fd);
}

// What a client has left is counted from its call on, not from the end of its request.
TEST_F(GrpcFrontCrossings, TheTimeThatARequestTakesToArriveIsTheClients) {
  ASSERT_TRUE(hello(*peer));
  constexpr milliseconds budget{500}, arrives{60};
  peer->send(call_head(*peer, 1, {{"grpc-timeout", "500m"}}));
  peer->settle();
  pass(arrives);
  peer->send(frame(DATA, END_STREAM, 1, call_message("q")));
  ASSERT_TRUE(begun(1));
  EXPECT_LE(nodes.given.back(), budget - arrives);
  // One whose time is over as it comes is answered as late.
  peer->send(call_head(*peer, 3, {{"grpc-timeout", "5m"}}));
  peer->settle();
  pass(arrives);
  peer->send(frame(DATA, END_STREAM, 3, call_message("p")));
  peer->settle();
  clock.at += milliseconds(1);
  core.run_timers();
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  EXPECT_EQ(peer->field(3, "grpc-status"), "4");
}

// The last byte of an answer × a cancel that has come and is not read yet; and the streams behind it.
TEST_F(GrpcFrontCrossings, ACancelThatMeetsTheEndOfItsAnswerHurtsNobody) {
  ASSERT_TRUE(hello(*peer));
  peer->send(call(*peer, 1, "first"));
  ASSERT_TRUE(begun(1));
  peer->send(call(*peer, 3, "behind"));
  ASSERT_TRUE(begun(2));
  std::swap(nodes.begun[0], nodes.begun[1]);
  peer->send(reset(1, CANCEL));
  serve();  // the first one's answer, before the loop sees the cancel
  peer->settle();
  EXPECT_EQ(core.open_request_count(), 1u);
  EXPECT_FALSE(peer->closed);
  nodes.begun[0].attempt->on_done({Outcome::prefill_done, 0, {}, {}});
  nodes.begun.back().attempt->on_data("b");
  nodes.begun.back().attempt->on_done({Outcome::ok, 0, {}, {}});
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  EXPECT_EQ(peer->field(3, "grpc-status"), "0");
  EXPECT_EQ(core.open_request_count(), 0u);
}

// A client that opens no window × a drain: the others of its connection end, and its answer waits for it.
TEST_F(GrpcFrontCrossings, ADrainWaitsForAClientThatTakesItsAnswerLate) {
  ASSERT_TRUE(hello(*peer, setting(4, 0)));
  peer->send(call(*peer, 1, "slow"));
  ASSERT_TRUE(begun(1));
  serve();
  peer->send(call(*peer, 3, "quick") + frame(WINDOW_UPDATE, NONE, 3, number(1000)));
  ASSERT_TRUE(begun(3));
  serve();
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  drain();
  peer->send(pong());
  peer->settle();
  EXPECT_FALSE(peer->over(1));
  EXPECT_FALSE(server.idle());
  peer->send(frame(WINDOW_UPDATE, NONE, 1, number(1000)));
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(peer->field(1, "grpc-status"), "0");
  ASSERT_TRUE(peer->until([&] { return peer->closed; }));
}

}  // namespace
}  // namespace lemonroute::crossings
