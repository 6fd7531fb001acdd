// A new process takes over on the inherited socket. Each runs on a loop of its own here, so that the test
// decides what either has seen when the other goes on.
#include <fcntl.h>
#include <unistd.h>

#include <filesystem>

#include "crossings/process/bed.h"

namespace lemonroute::crossings {
namespace {

struct HandOver : Bed {
  HandOver() {
    beside = &old_loop;
    old_agent.list("s-1", node.address(), "active");
    begin();
  }
  ~HandOver() override {
    end_old_one();
    new_one.reset();
    for (const auto& file : std::filesystem::directory_iterator(std::filesystem::temp_directory_path()))
      if (file.path().filename().string().starts_with("lemonroute-" + settings.name))
        std::filesystem::remove(file.path());
  }
  // The old process serves a stream.
  void begin() {
    old_one = make(old_loop, old_agent);
    client = Socket::connect(door.port());
    client.send(request("stream"));
    at_node = next_at_node();
    at_node.send(stream_head + stream_event("first"));
    EXPECT_TRUE(until([&] { return client.has("data: first"); }));
  }
  void begin_new_one() { new_one = make(loop, agent); }
  std::unique_ptr<cli::Program> make(net::Loop& on, const Agent& discovery) {
    settings = platform("handover", discovery.address(), node.address(), 7500ms);
    settings.name += "-" + std::to_string(door.port());
    settings.listen = door.address();
    settings.socket = fcntl(door.fd(), F_DUPFD_CLOEXEC, 0);
    return std::make_unique<cli::Program>(on, settings, config::Operator{}, reload);
  }
  // The new process sees nothing of it yet.
  void end_old_one() {
    event_base_loop(old_loop.base(), EVLOOP_NONBLOCK);
    old_one.reset();
  }
  // It ends by itself, which it does not while the stream is open there.
  bool old_one_ends() {
    return until([&] { return event_base_got_break(old_loop.base()) != 0; });
  }
  // The stream has its last event and its end, once.
  void expect_end() {
    at_node.send(stream_event("last") + stream_end);
    EXPECT_TRUE(until([&] { return client.has("0\r\n\r\n"); })) << client.text();
    EXPECT_EQ(client.count("data: first"), 1u);
    EXPECT_EQ(client.count("data: last"), 1u);
  }

  Door door;
  net::Loop old_loop;
  Agent old_agent{old_loop};
  std::unique_ptr<cli::Program> old_one, new_one;
  Socket client, at_node;
};

TEST_F(HandOver, AStreamGoesOnAtTheNewProcess) {
  begin_new_one();
  old_one->drain();
  EXPECT_TRUE(old_one_ends());
  end_old_one();
  expect_end();
}

// The order to end comes while the new process is not ready. Once it is, the stream goes on there, and
// whoever connects is served.
TEST_F(HandOver, AStreamGoesOnAtAProcessThatIsReadyAfterTheOrderToEnd) {
  old_one->drain();
  run(20ms);
  begin_new_one();
  EXPECT_TRUE(old_one_ends());
  end_old_one();
  expect_end();
  Socket other = Socket::connect(door.port());
  other.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(until([&] { return other.has(" 200 OK"); }));
}

// The old process has stopped accepting and the new one is not ready: clients wait in the queue of the
// socket.
TEST_F(HandOver, WhoConnectsBetweenTheTwoIsServedByTheNewOne) {
  old_one->drain();
  run(750ms);
  Socket waits = Socket::connect(door.port());
  waits.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  run(20ms);
  EXPECT_TRUE(waits.text().empty());
  begin_new_one();
  EXPECT_TRUE(until([&] { return waits.has(" 200 OK"); }));
}

// The new process is told to end before it has looked at what it was given.
TEST_F(HandOver, AStreamOnItsWayToAProcessThatIsToldToEnd) {
  begin_new_one();
  old_one->drain();
  new_one->drain();
  end_old_one();
  expect_end();
}

// The other order: the new process no longer takes streams, so the old one keeps it.
TEST_F(HandOver, AStreamStaysWhereTheNewProcessWasToldToEndFirst) {
  begin_new_one();
  new_one->drain();
  old_one->drain();
  run(50ms);  // it tries to pass the stream every 10 ms
  new_one.reset();
  expect_end();
}

TEST_F(HandOver, EventsOnEitherSideOfThePassingComeOnceAndInOrder) {
  begin_new_one();
  at_node.send(stream_event("before"));  // in the kernel, and not read
  old_one->drain();
  at_node.send(stream_event("after"));
  EXPECT_TRUE(old_one_ends());
  end_old_one();
  expect_end();
  EXPECT_LT(client.text().find("data: before"), client.text().find("data: after"));
  EXPECT_EQ(client.count("data: before"), 1u);
  EXPECT_EQ(client.count("data: after"), 1u);
}

// Half an event has been read by the old process: the stream stays there until the event is whole.
TEST_F(HandOver, HalfAnEventIsNotTornApart) {
  begin_new_one();
  const std::string event = stream_event("torn");
  at_node.send(event.substr(0, 14));
  run(20ms);
  old_one->drain();
  run(50ms);
  at_node.send(event.substr(14));
  EXPECT_TRUE(until([&] { return client.has("data: torn"); }));
  EXPECT_TRUE(old_one_ends());
  end_old_one();
  expect_end();
}

TEST_F(HandOver, AClientThatClosesOnTheWayGivesTheNodeUp) {
  for (const bool first : {true, false}) {
    SCOPED_TRACE(first);
    if (!first)
      begin();
    begin_new_one();
    if (first)
      client.close();
    old_one->drain();
    client.close();
    EXPECT_TRUE(until([&] { return at_node.ended(); }));
    end_old_one();
    new_one.reset();
  }
}

// Two processes share the clients' socket, and a request is open at one of them: the id is open at both.
struct OpenId : HandOver {
  // A client's request waits for its first event at the old process.
  void begin_waiting() {
    waiting = Socket::connect(door.port());
    waiting.send(request("waits"));
    waiting_at_node = next_at_node();
  }
  // Lets the new process alone accept a client.
  Socket connect_to_new_one() {
    beside = nullptr;
    Socket made = Socket::connect(door.port());
    run(20ms);
    beside = &old_loop;
    return made;
  }
  void expect_rejected(Socket& bad) {
    EXPECT_TRUE(until([&] { return bad.has("HTTP/1.1 "); }));
    EXPECT_TRUE(bad.has("HTTP/1.1 400")) << bad.text();
    EXPECT_FALSE(node.accept().open());
  }
  void expect_waiting_served() {
    waiting_at_node.send(stream_head + stream_event("whole") + stream_end);
    EXPECT_TRUE(until([&] { return waiting.has("0\r\n\r\n"); })) << waiting.text();
    EXPECT_EQ(waiting.count("data: whole"), 1u);
  }

  Socket waiting, waiting_at_node;
};

// Guards against running a request at the new process while its id is open at the old one.
TEST_F(OpenId, IsRejectedByTheNewProcessAfterTheOrder) {
  begin_waiting();
  begin_new_one();
  old_one->drain();
  Socket bad = Socket::connect(door.port());
  bad.send(request("waits"));
  expect_rejected(bad);
  expect_waiting_served();
}

// Guards against the same before the order, while both take clients.
TEST_F(OpenId, IsRejectedByTheNewProcessBeforeTheOrder) {
  begin_waiting();
  begin_new_one();
  Socket bad = connect_to_new_one();
  bad.send(request("waits"));
  expect_rejected(bad);
  expect_waiting_served();
}

// Guards against a stream that is cut at the new process because its id was reused while it was on its way.
TEST_F(OpenId, IsRejectedWhileItsStreamIsOnItsWay) {
  begin_new_one();
  Socket bad = connect_to_new_one();
  bad.send(request("stream"));
  old_one->drain();
  end_old_one();
  expect_rejected(bad);
  expect_end();
}

// Guards against starting a stream's idle time anew with each upgrade.
TEST_F(HandOver, AStreamWhoseNodeHangsEndsAtTheNewProcessByItsLastEvent) {
  begin_new_one();
  run(3s);  // it is cut 4.5 s after its last event
  old_one->drain();
  const auto ordered = Wall::now();
  EXPECT_TRUE(until([&] { return client.ended(); }));
  EXPECT_LT(Wall::now() - ordered, 3s);
  EXPECT_FALSE(client.has("[DONE]") || client.has("\r\n0\r\n\r\n"));
}

// Killed with the stream on its way: the old process makes no difference, the new one cuts it.
TEST_F(HandOver, TheOldProcessIsKilledWithAStreamOnItsWay) {
  begin_new_one();
  old_one->drain();
  end_old_one();
  expect_end();
}
TEST_F(HandOver, TheNewProcessIsKilledWithAStreamOnItsWay) {
  begin_new_one();
  old_one->drain();
  new_one.reset();
  EXPECT_TRUE(until([&] { return client.ended() && at_node.ended(); }));
  EXPECT_FALSE(client.has("[DONE]") || client.has("\r\n0\r\n\r\n"));
}

}  // namespace
}  // namespace lemonroute::crossings
