// Peers that write slowly, and clients that leave while their request waits to be read.
#include <unistd.h>

#include "crossings/process/bed.h"

namespace lemonroute::crossings {
namespace {

// Longer than the time after which a stream without data is cut in three steps, each shorter.
constexpr std::chrono::milliseconds step{2000};

struct SlowPeers : Bed {
  SlowPeers() { start(); }
  Socket begin_stream() {
    Socket client = ask("slow");
    at_node = next_at_node();
    at_node.send(stream_head + stream_event("first"));
    EXPECT_TRUE(until([&] { return client.has("data: first"); }));
    return client;
  }
  Socket at_node;
};

// Guards against cutting a stream whose node is still writing an event, slowly.
TEST_F(SlowPeers, AnEventThatArrivesInPiecesIsNotCutOff) {
  Socket client = begin_stream();
  const std::string event = stream_event("a-long-event");
  for (const std::size_t from : {0, 12, 16}) {
    run(step);
    at_node.send(event.substr(from, from == 0 ? 12 : from == 12 ? 4 : std::string::npos));
  }
  at_node.send(stream_end);
  EXPECT_TRUE(until([&] { return client.has("0\r\n\r\n") || client.ended(); }));
  EXPECT_TRUE(client.has("data: a-long-event") && client.has("[DONE]")) << client.text();
}

// The other side of the bound: an event that has begun and does not go on.
TEST_F(SlowPeers, AnEventThatStopsHalfWayIsCutOffInTime) {
  Socket client = begin_stream();
  at_node.send(stream_event("a-long-event").substr(0, 12));
  const auto stopped = Wall::now();
  EXPECT_TRUE(until([&] { return client.ended(); }));
  EXPECT_LT(Wall::now() - stopped, 6s);
  EXPECT_FALSE(client.has("[DONE]") || client.has("\r\n0\r\n\r\n"));
}

// Guards against a final answer that waits for a node to read a large request.
TEST_F(SlowPeers, ALargeRequestThatItsNodeDoesNotReadIsAnsweredInTime) {
  const std::string body(200 * 1024, 'x');
  Socket client = connect();
  const auto asked = Wall::now();
  client.send(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: large\r\nReq-Kind: estratto\r\n"
      "Req-Deadline: 1\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_TRUE(until([&] { return (at_node = node.accept()).open(); }));
  EXPECT_TRUE(until([&] { return client.has("HTTP/1.1 "); }));
  EXPECT_TRUE(client.has("HTTP/1.1 504")) << client.text();
  EXPECT_LT(Wall::now() - asked, 1500ms);  // half a second after its time it only earns nothing
}

// Guards against running requests whose client closed its connection while they waited to be read: the end of
// the connection is behind all that is unread, and so many bytes are not read at once.
TEST_F(SlowPeers, NothingIsSentForAClientThatClosedWithMuchUnread) {
  Socket client = connect();
  client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(until([&] { return client.has(" 200 OK"); }));
  std::string requests;
  for (int i = 0; i < 500; ++i)
    requests += request("left" + std::to_string(i));
  client.send(requests);  // the program does not run meanwhile
  client.close();
  run(100ms);
  EXPECT_FALSE(node.accept().open());
}

// Guards against a further attempt for a client whose end has come but is handled later in the same round.
TEST_F(SlowPeers, NoFurtherAttemptIsMadeForAClientThatHasClosed) {
  Socket client = ask("leaves");
  Socket prefill = next_at_node();
  prefill.send("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}");
  client.close();
  run(100ms);
  Socket again = node.accept();
  EXPECT_FALSE(again.has("POST")) << again.text();
}

}  // namespace
}  // namespace lemonroute::crossings
