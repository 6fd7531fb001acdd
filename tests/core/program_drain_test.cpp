// Program::drain: requests accepted before the drain, and requests that arrive later, are answered before the
// process is killed.
#include "conformance/peer.h"
#include "program_fixture.h"
#include "proto/health.pb.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::test {
namespace {

using namespace std::chrono_literals;

struct ProgramDrain : ProgramFixture {
  ProgramDrain() {
    start([](auto& file) {
      file["settings"]["lanes"][0]["hard-limit-us"] = 300000;  // the process is killed 0.7 s after that
    });
  }
};

TEST_F(ProgramDrain, AnswersWaitingRequestsBeforeTheKill) {
  const int early = send_request("early");
  const int node = accept_at_node(SteadyClock::now() + 5s);
  ASSERT_GE(node, 0);  // a node has the request and never answers
  program->drain();
  const int late = send_request("late");
  const auto answer_until = SteadyClock::now() + 5s;  // less than the 20 s that the clients allow
  EXPECT_EQ(read_status(early, answer_until).substr(0, 9), "HTTP/1.1 ");
  EXPECT_EQ(read_status(late, answer_until).substr(0, 9), "HTTP/1.1 ");
  for (const int fd : {early, late, node})
    close(fd);
}

// A request that is accepted later than 0.7 s after SIGTERM and cut by the kill is lost.
struct ProgramDrainTooLate : ProgramDrain {
  static constexpr auto too_late = 750ms;
  static constexpr auto unanswered = 300ms;  // the node would have the request by then
};

// Guards against requests that slow clients complete after the window: they were accepted, and cut by the
// kill.
TEST_F(ProgramDrainTooLate, RejectsARequestThatIsCompletedAfterTheWindow) {
  const int fresh = connect_client();
  send_all(fresh, head("fresh", 2) + "{");
  const int reused = connect_client();
  send_all(reused, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(read_status(reused, SteadyClock::now() + 5s), "HTTP/1.1 200");
  const auto ordered = SteadyClock::now();
  program->drain();
  run_until(ordered + 400ms);
  (void)received(reused);
  send_all(reused, head("reused", 2) + "{");
  run_until(ordered + too_late);
  for (const int fd : {fresh, reused}) {
    send_all(fd, "}");
    EXPECT_EQ(read_status(fd, SteadyClock::now() + 5s), "HTTP/1.1 503");
    EXPECT_NE(received(fd).find("Connection: close"), std::string::npos);
    close(fd);
  }
  EXPECT_EQ(accept_at_node(SteadyClock::now() + unanswered), -1);
}

// The other side of the bound: within the window it is accepted.
TEST_F(ProgramDrainTooLate, AcceptsARequestThatIsCompletedWithinTheWindow) {
  const int client = connect_client();
  send_all(client, head("slow", 2) + "{");
  const auto ordered = SteadyClock::now();
  program->drain();
  run_until(ordered + 400ms);
  send_all(client, "}");
  const int node = accept_at_node(SteadyClock::now() + 5s);
  EXPECT_GE(node, 0);
  close(client);
  close(node);
}

// Guards against a request that waits behind another one's answer and is accepted when that has ended.
TEST_F(ProgramDrainTooLate, RejectsARequestBehindAnAnswerThatEndsAfterTheWindow) {
  const int client = send_request("first");
  const int node = accept_at_node(SteadyClock::now() + 5s);
  ASSERT_GE(node, 0);
  run_until(SteadyClock::now() + 20ms);
  send_all(node,
           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
           "9\r\ndata: a\n\n\r\n");
  EXPECT_EQ(read_status(client, SteadyClock::now() + 5s), "HTTP/1.1 200");
  send_all(client, head("behind", 2) + "{}");
  const auto ordered = SteadyClock::now();
  program->drain();
  run_until(ordered + too_late);
  (void)received(client);
  send_all(node, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
  run_until(SteadyClock::now() + 50ms);
  EXPECT_NE(received(client).find("HTTP/1.1 503 "), std::string::npos);
  EXPECT_EQ(accept_at_node(SteadyClock::now() + unanswered), -1);
  close(client);
  close(node);
}

struct ProgramDrainGrpc : ProgramFixture {
  static constexpr auto too_late = 750ms;
  ProgramDrainGrpc() {
    config::Operator settings;
    settings.grpc_listen = "127.0.0.1:0";
    start([](auto&) {}, settings);
    peer = std::make_unique<conformance::Peer>(loop, conformance::Peer::dial(program->grpc_port()));
    peer->send(conformance::preface + conformance::frame(conformance::SETTINGS, conformance::NONE, 0, ""));
    peer->settle();
  }
  void open_call(std::uint32_t stream, const std::string& path = "/lemonroute.v1.Drafting/Generate") {
    peer->send(conformance::frame(conformance::HEADERS, conformance::END_HEADERS, stream,
                                  peer->block({{":method", "POST"},
                                               {":scheme", "http"},
                                               {":path", path},
                                               {":authority", "x"},
                                               {"content-type", "application/grpc"},
                                               {"te", "trailers"}})));
  }
  void complete_call(std::uint32_t stream) {
    v1::GenerateRequest request;
    request.set_id("q" + std::to_string(stream));
    request.set_kind("estratto");
    request.set_body("{}");
    peer->send(conformance::frame(conformance::DATA, conformance::END_STREAM, stream,
                                  grpc::frame(request.SerializeAsString())));
  }
  std::unique_ptr<conformance::Peer> peer;
};

// Guards against calls that were opened before the last GOAWAY and are accepted when the window is over.
TEST_F(ProgramDrainGrpc, RejectsCallsThatAreCompletedAfterTheWindow) {
  open_call(1);
  const auto ordered = SteadyClock::now();
  program->drain();
  run_until(ordered + too_late);
  open_call(3);  // after the first GOAWAY
  for (const std::uint32_t stream : {1u, 3u}) {
    complete_call(stream);
    ASSERT_TRUE(peer->until([&] { return peer->over(stream); }));
    EXPECT_EQ(peer->field(stream, "grpc-status"), "14");  // UNAVAILABLE
  }
  EXPECT_EQ(accept_at_node(SteadyClock::now() + 300ms), -1);
}

// Guards against a health watch that begins during the shutdown, is never ended, and keeps the process.
TEST_F(ProgramDrainGrpc, EndsAHealthWatchThatBeginsDuringTheShutdown) {
  program->drain();
  ::grpc::health::v1::HealthCheckRequest known, unknown;
  unknown.set_service("other");
  std::uint32_t stream = 1;
  for (const auto& request : {known, unknown}) {
    open_call(stream, "/grpc.health.v1.Health/Watch");
    peer->send(conformance::frame(conformance::DATA, conformance::END_STREAM, stream,
                                  grpc::frame(request.SerializeAsString())));
    ASSERT_TRUE(peer->until([&] { return peer->over(stream); }));
    EXPECT_EQ(peer->field(stream, "grpc-status"), "14");  // UNAVAILABLE
    stream += 2;
  }
  const auto give_up_at = SteadyClock::now() + 5s;
  while (!event_base_got_break(loop.base()) && SteadyClock::now() < give_up_at)
    peer->turn();
  EXPECT_TRUE(event_base_got_break(loop.base()));  // it has ended by itself
}

}  // namespace
}  // namespace lemonroute::test
