// SIGTERM and what it can meet. Whatever was taken is answered before the kill; what was not taken sees an
// end without an answer, and no node hears of it.
#include <csignal>
#include <stdexcept>
#include <thread>

#include "crossings/process/bed.h"

namespace lemonroute::crossings {
namespace {

// From SIGTERM on new connections are taken for so long; then those that rest are closed.
constexpr std::chrono::milliseconds listens_for{600}, window_over{750};
constexpr std::chrono::milliseconds short_deadline{300};  // it is killed 1 s after SIGTERM at the soonest
constexpr std::chrono::milliseconds killed_after{700};    // the longest deadline

const std::string refused = "HTTP/1.1 429";
const std::string healthz = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

struct Shutdown : Bed {
  void serve_at_node(Socket& at_node, const std::string& event) {
    at_node.send(stream_head + stream_event(event) + stream_end);
  }
  void serve_next(const std::string& event) {
    Socket at_node = next_at_node();
    serve_at_node(at_node, event);
  }
  // Answered with a whole stream whose connection ends behind it.
  void expect_served(Socket& client, const std::string& event) {
    EXPECT_TRUE(until([&] { return client.ended(); }));
    EXPECT_TRUE(client.has("data: " + event + "\n\n"));
    EXPECT_TRUE(client.has("data: [DONE]\n\n\r\n0\r\n\r\n")) << client.text();
  }
  // A connection that has had one answer and rests.
  Socket resting() {
    Socket client = connect();
    client.send(healthz);
    EXPECT_TRUE(until([&] { return client.has(" 200 OK"); }));
    return client;
  }
};

TEST_F(Shutdown, TakesWhatAnAcceptedConnectionAsks) {
  start();
  Socket before = connect(), after = connect();
  run(20ms);  // both are accepted
  before.send(request("before"));
  program->drain();
  after.send(request("after"));
  for (const char* event : {"one", "other"})
    serve_next(event);
  EXPECT_TRUE(until([&] { return before.ended() && after.ended(); }));
  EXPECT_TRUE(before.has("0\r\n\r\n") && before.has("Connection: close")) << before.text();
  EXPECT_TRUE(after.has("0\r\n\r\n") && after.has("Connection: close")) << after.text();
}

TEST_F(Shutdown, TakesARequestInPiecesWithinTheWindow) {
  start();
  const std::string text = request("pieces");
  Socket client = connect();
  client.send(text.substr(0, 30));
  run(20ms);  // the first piece has been read
  program->drain();
  client.send(text.substr(30, 60));
  run(listens_for / 2);
  client.send(text.substr(90));
  serve_next("late");
  expect_served(client, "late");
}

// Its stream would be cut by the kill, and is excused only for what arrives within 0.7 s of the order.
TEST_F(Shutdown, RejectsARequestInPiecesAfterTheWindow) {
  start();
  const std::string text = request("pieces");
  Socket client = connect();
  client.send(text.substr(0, 30));
  run(20ms);
  program->drain();
  client.send(text.substr(30, 60));
  run(window_over);
  client.send(text.substr(90));
  EXPECT_TRUE(until([&] { return client.ended(); }));
  EXPECT_TRUE(client.has("HTTP/1.1 503") && client.has("Connection: close")) << client.text();
  EXPECT_FALSE(client.was_reset());
  EXPECT_FALSE(node.accept().open());
}

TEST_F(Shutdown, AnswersTheFirstOfTwoPipelinedRequestsAndSendsNoOther) {
  start();
  Socket client = connect();
  client.send(request("first") + request("second"));
  Socket at_node = next_at_node();
  program->drain();
  serve_at_node(at_node, "first");
  expect_served(client, "first");
  EXPECT_EQ(client.count("HTTP/1.1 "), 1u);
  run(50ms);
  EXPECT_FALSE(node.accept().open());
  EXPECT_FALSE(at_node.has("second"));
}

TEST_F(Shutdown, TakesTheSecondOfTwoPipelinedRequestsIfTheFirstIsOver) {
  start();
  Socket client = connect();
  client.send(request("first") + request("second"));
  Socket at_node = next_at_node();
  serve_at_node(at_node, "first");
  EXPECT_TRUE(until([&] { return client.has("0\r\n\r\n"); }));
  Socket second_at_node = next_at_node();  // the first connection rests
  EXPECT_TRUE(until([&] { return second_at_node.has("second"); }));
  program->drain();
  serve_at_node(second_at_node, "second");
  expect_served(client, "second");
  EXPECT_EQ(client.count("HTTP/1.1 "), 2u);
}

TEST_F(Shutdown, ARestingConnectionIsServedOnceOrLeftUnread) {
  start();
  Socket asks = resting(), rests = resting();
  program->drain();
  asks.send(request("asks"));
  serve_next("served");
  expect_served(asks, "served");
  EXPECT_TRUE(until([&] { return rests.ended(); }));
  const std::string answers = rests.text();
  rests.send(request("too-late"));
  run(50ms);
  EXPECT_EQ(rests.text(), answers);
  EXPECT_FALSE(node.accept().open());
}

// The loop stands still from SIGTERM until the window is over: all of them wait in the listen queue, and the
// last ones come when the loop has looked at the queue and is about to end the window.
TEST_F(Shutdown, AnswersWhatWaitsInTheListenQueue) {
  start();
  Socket last, says_nothing;
  net::Timer just_before(loop, [&] {
    last = ask("last");
    says_nothing = connect();
  });
  Socket before = ask("before");
  just_before.start(listens_for);
  program->drain();
  Socket after = ask("after");
  std::this_thread::sleep_for(window_over);
  // When they arrived can't be told any more, and the kill may cut what arrived as late as this: each is
  // rejected.
  for (Socket* client : {&before, &after, &last}) {
    EXPECT_TRUE(until([&] { return client->ended(); }));
    EXPECT_TRUE(client->has("HTTP/1.1 503") && client->has("Connection: close")) << client->text();
    EXPECT_FALSE(client->was_reset());
  }
  EXPECT_FALSE(node.accept().open());
  EXPECT_TRUE(until([&] { return says_nothing.ended(); }));
  EXPECT_TRUE(says_nothing.text().empty());
}

TEST_F(Shutdown, AnswersAnAttemptThatConnects) {
  Door full(0);
  Socket fills = Socket::connect(full.port());  // the queue of one is taken, so no other connection comes up
  agent.list("s-1", full.address(), "active");
  start(short_deadline);
  Socket before = ask("before");
  run(20ms);  // its attempt connects
  const auto ordered = Wall::now();
  program->drain();
  Socket after = ask("after");
  EXPECT_TRUE(until([&] { return before.has("HTTP/1.1 ") && after.has("HTTP/1.1 "); }));
  EXPECT_LT(Wall::now() - ordered, short_deadline + killed_after);
}

TEST_F(Shutdown, AnswersAnAttemptThatWasSent) {
  start(short_deadline);
  Socket before = ask("before");
  Socket at_node = next_at_node();
  const auto ordered = Wall::now();
  program->drain();
  Socket after = ask("after");
  EXPECT_TRUE(until([&] { return before.has("HTTP/1.1 ") && after.has("HTTP/1.1 "); }));
  EXPECT_LT(Wall::now() - ordered, short_deadline + killed_after);
}

// Half a request that becomes whole when everything that waits has been ended.
TEST_F(Shutdown, AnswersWhatIsWholeOnlyAfterAllWaitingWasEnded) {
  start(short_deadline);
  const std::string text = request("late");
  Socket client = connect();
  client.send(text.substr(0, 40));
  run(20ms);
  program->drain();
  run(short_deadline + killed_after - 150ms);
  client.send(text.substr(40));
  EXPECT_TRUE(until([&] { return client.has("HTTP/1.1 "); }, 100ms));
}

TEST_F(Shutdown, PassesAStreamOnToItsEnd) {
  start();
  Socket client = ask("stream");
  Socket at_node = next_at_node();
  at_node.send(stream_head + stream_event("first"));
  EXPECT_TRUE(until([&] { return client.has("data: first"); }));
  program->drain();
  run(window_over);
  at_node.send(stream_event("last") + stream_end);
  expect_served(client, "last");
}

// The node has written a part of a line when the order comes, and the rest after the window.
TEST_F(Shutdown, HalfALineOfANodeIsPassedOnWhole) {
  start();
  Socket client = ask("half");
  Socket at_node = next_at_node();
  const std::string event = stream_event("a-whole-line");
  at_node.send(stream_head + stream_event("first") + event.substr(0, 12));
  EXPECT_TRUE(until([&] { return client.has("data: first"); }));
  run(20ms);
  program->drain();
  run(window_over);
  EXPECT_FALSE(client.has("a-"));
  at_node.send(event.substr(12) + stream_end);
  expect_served(client, "a-whole-line");
}

// The node's end comes with a RST in the middle of a line: the client must not take the stream for whole.
TEST_F(Shutdown, HalfALineAndAnEndIsCut) {
  start();
  Socket client = ask("cut");
  Socket at_node = next_at_node();
  at_node.send(stream_head + stream_event("first") + stream_event("never").substr(0, 12));
  EXPECT_TRUE(until([&] { return client.has("data: first"); }));
  program->drain();
  at_node.reset();
  EXPECT_TRUE(until([&] { return client.ended(); }));
  EXPECT_FALSE(client.has("never") || client.has("[DONE]") || client.has("\r\n0\r\n\r\n"));
}

// Orders that come again and again: the window does not begin anew, and what waits is answered by the first.
TEST_F(Shutdown, FurtherOrdersChangeNothing) {
  start(short_deadline);
  Socket rests = resting(), client = ask("waits");
  Socket at_node = next_at_node();
  const auto ordered = Wall::now();
  for (int i = 0; i < 30 && !(rests.ended() && client.has("HTTP/1.1 ")); ++i) {
    std::raise(SIGTERM);
    run(100ms);
  }
  EXPECT_TRUE(rests.ended());
  EXPECT_TRUE(client.has("HTTP/1.1 "));
  EXPECT_LT(Wall::now() - ordered, short_deadline + killed_after);
}

// SIGHUP and SIGTERM, in both orders and at one time: the new settings hold, discovery is asked where it is
// now, and the program ends.
struct TwoSignals {
  int first, second;
  bool at_once;  // both wait when the loop goes on
};
struct Reloaded : Shutdown, ::testing::WithParamInterface<TwoSignals> {};

TEST_P(Reloaded, BothOrdersAreCarriedOut) {
  start();
  Agent elsewhere(loop);
  elsewhere.generation = 70;
  elsewhere.list("s-1", node.address(), "leaving");
  int reloads = 0;
  reload = [&] {
    ++reloads;
    settings.discovery = elsewhere.address();
    return settings;
  };
  Socket waits = connect();
  run(20ms);
  std::raise(GetParam().first);
  if (!GetParam().at_once)
    run(5ms);
  std::raise(GetParam().second);
  EXPECT_TRUE(until([&] { return elsewhere.calls > 1; }));
  EXPECT_EQ(reloads, 1);
  waits.send(request("after"));
  EXPECT_TRUE(until([&] { return waits.ended(); }));
  EXPECT_TRUE(waits.has(refused) && waits.has("Connection: close")) << waits.text();
  EXPECT_FALSE(node.accept().open());
  EXPECT_TRUE(until([&] { return event_base_got_break(loop.base()) != 0; }));  // it has ended by itself
}

INSTANTIATE_TEST_SUITE_P(Orders, Reloaded,
                         ::testing::Values(TwoSignals{SIGHUP, SIGTERM, false},
                                           TwoSignals{SIGTERM, SIGHUP, false},
                                           TwoSignals{SIGTERM, SIGHUP, true}));

// A file that is not in order, then the order to end, and the other way round.
TEST_F(Shutdown, ABrokenFileBesideTheOrderToEndChangesNothing) {
  start();
  reload = []() -> config::Platform { throw std::runtime_error("no file that can be read"); };
  Socket client = ask("waits");
  Socket at_node = next_at_node();
  std::raise(SIGHUP);
  run(20ms);
  std::raise(SIGTERM);
  std::raise(SIGHUP);
  run(20ms);
  serve_at_node(at_node, "served");
  expect_served(client, "served");
}

// A node that drains while the program does gets nothing new.
TEST_F(Shutdown, NothingNewGoesToANodeThatDrainsAsWell) {
  start();
  Socket client = connect();
  run(20ms);
  program->drain();
  agent.list("s-1", node.address(), "leaving");
  run(50ms);  // the list has come
  client.send(request("late"));
  EXPECT_TRUE(until([&] { return client.has(refused); }));
  EXPECT_FALSE(node.accept().open());
}

}  // namespace
}  // namespace lemonroute::crossings
