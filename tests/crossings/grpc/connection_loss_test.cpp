// A node's connection, or one stream of it, ends × what is under way on it.
#include <sys/syscall.h>

#include "crossings/grpc/node_client_bed.h"

namespace {
bool no_descriptor_left = false;
}

// Stands in for a process whose table of descriptors is full. With a table that is really full the
// sanitizers' own checks, which open pipes, would report faults that are none.
extern "C" int socket(int domain, int type, int protocol) noexcept {
  if (no_descriptor_left) {
    errno = EMFILE;
    return -1;
  }
  return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

namespace lemonroute::crossings {
namespace {

struct GrpcLoss : NodeClientBed {
  void out(NotedAttempt& attempt) {
    begin(attempt, "first");
    ASSERT_TRUE(peer = stand_in.accept());
    ASSERT_TRUE(peer->until([&] { return attempt.sent && peer->over(1); }));
  }
  Peer* peer = nullptr;
};

// A connection is lost × the next attempt, begun as its end is told: it gets a connection that is there.
TEST_F(GrpcLoss, TheNextAttemptDoesNotComeBackToTheLostConnection) {
  NotedAttempt first, next;
  out(first);
  first.then = [&] { begin(next, "next"); };
  peer->drop();
  ASSERT_TRUE(until([&] { return first.outcome.has_value(); }));
  EXPECT_EQ(first.outcome, Outcome::reset);
  Peer* another = stand_in.accept();
  ASSERT_TRUE(another);
  ASSERT_TRUE(another->until([&] { return another->over(1); }));
  EXPECT_FALSE(next.outcome);
  another->send(head(*another, 1) + prefill_done(1) + tail(*another, 1));
  ASSERT_TRUE(another->until([&] { return next.outcome.has_value(); }));
  EXPECT_EQ(next.outcome, Outcome::prefill_done);
}

// Connecting fails × the next attempt, begun as that is told.
TEST_F(GrpcLoss, TheNextAttemptDoesNotComeBackToAConnectionThatDidNotComeUp) {
  const int closed = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ASSERT_EQ(bind(closed, reinterpret_cast<sockaddr*>(&at), size), 0);  // bound, and nobody listens
  getsockname(closed, reinterpret_cast<sockaddr*>(&at), &size);
  const string reachable = std::exchange(node.address, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)));
  NotedAttempt first, next;
  first.then = [&] {
    ASSERT_EQ(listen(closed, 1), 0);
    begin(next, "next");
  };
  begin(first, "first");
  ASSERT_TRUE(until([&] { return first.outcome.has_value(); }));
  EXPECT_EQ(first.outcome, Outcome::connect_failed);
  EXPECT_TRUE(until([&] { return next.sent; }));
  EXPECT_FALSE(next.outcome);
  close(closed);
}

// An idle connection is closed by the node × a request is written on it.
TEST_F(GrpcLoss, AnIdleConnectionThatTheNodeClosesCarriesNothingTwice) {
  for (const bool seen_first : {true, false}) {
    NotedAttempt first, next;
    out(first);
    peer->send(head(*peer, 1) + prefill_done(1) + tail(*peer, 1));
    ASSERT_TRUE(peer->until([&] { return first.outcome.has_value(); }));
    if (seen_first) {
      peer->drop();
      ASSERT_TRUE(until([&] { return client.connections() == 0; }));
      begin(next, "next");
    } else {
      begin(next, "next");
      ASSERT_TRUE(peer->until([&] { return next.sent; }));  // with the kernel, unread by the node
      peer->drop();
      ASSERT_TRUE(until([&] { return next.outcome.has_value(); }));
      EXPECT_EQ(next.outcome, Outcome::reset);  // it may have run
      next = NotedAttempt();
      begin(next, "next");
    }
    Peer* another = stand_in.accept();
    ASSERT_TRUE(another);
    ASSERT_TRUE(another->until([&] { return another->over(1); }));
    EXPECT_EQ(asked(*another), Ids{"next"});
    another->drop();
    ASSERT_TRUE(until([&] { return next.outcome.has_value(); }));
    ASSERT_TRUE(until([&] { return client.connections() == 0; }));
  }
}

// A node resets a stream × it has, or has not, answered something: only then may it be taken not to have run.
TEST_F(GrpcLoss, ARefusedStreamHasRunIfAnythingWasAnswered) {
  for (const bool answered : {false, true}) {
    NotedAttempt one, beside;
    out(one);
    begin(beside, "beside");
    ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
    peer->send((answered ? head(*peer, 1) : string()) + reset(1, REFUSED_STREAM));
    ASSERT_TRUE(peer->until([&] { return one.outcome.has_value(); }));
    EXPECT_EQ(one.outcome, answered ? Outcome::reset : Outcome::connect_failed);
    peer->send(head(*peer, 3) + event(3, "a") + event(3, "b") + tail(*peer, 3));
    ASSERT_TRUE(peer->until([&] { return beside.outcome.has_value(); }));
    EXPECT_EQ(beside.outcome, Outcome::ok);
    EXPECT_EQ(beside.text, "ab");
    peer->drop();
    ASSERT_TRUE(until([&] { return client.connections() == 0; }));
  }
}

// GOAWAY × a stream under way: one at or below its last id goes on, one above it that was answered has run.
TEST_F(GrpcLoss, GoawayUnderAStreamThatWasAnswered) {
  NotedAttempt one, above;
  out(one);
  begin(above, "above");
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  peer->send(head(*peer, 1) + event(1, "a") + head(*peer, 3) + event(3, "x"));
  ASSERT_TRUE(peer->until([&] { return above.text == "x"; }));
  peer->send(goaway(1) + event(1, "b") + tail(*peer, 1));
  ASSERT_TRUE(peer->until([&] { return one.outcome && above.outcome; }));
  EXPECT_EQ(above.outcome, Outcome::reset);
  EXPECT_EQ(one.outcome, Outcome::ok);
  EXPECT_EQ(one.text, "ab");
}

// Frames that come late, for a stream that is over × the next call on the same connection: they are not its.
TEST_F(GrpcLoss, LateFramesOfAStreamThatIsOverAreNotTheNextCalls) {
  for (const bool given_up : {false, true}) {
    NotedAttempt first, next;
    out(first);
    const string late = head(*peer, 1) + event(1, "late") + tail(*peer, 1);
    if (given_up) {
      first.call.reset();
      ASSERT_TRUE(peer->until([&] { return peer->find(RST_STREAM, 1) != nullptr; }));
    } else {
      peer->send(head(*peer, 1) + event(1, "a") + tail(*peer, 1));
      ASSERT_TRUE(peer->until([&] { return first.outcome.has_value(); }));
    }
    begin(next, "next");
    ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
    peer->send(late);
    peer->settle();
    EXPECT_FALSE(next.outcome);
    EXPECT_EQ(next.text, "");
    if (!peer->closed) {
      peer->send(head(*peer, 3) + event(3, "mine") + tail(*peer, 3));
      ASSERT_TRUE(peer->until([&] { return next.outcome.has_value(); }));
      EXPECT_EQ(next.outcome, Outcome::ok);
      EXPECT_EQ(next.text, "mine");
    }
    EXPECT_EQ(first.text, given_up ? "" : "a");
    peer->drop();
    ASSERT_TRUE(until([&] { return client.connections() == 0; }));
  }
}

// A release is lost with its connection, or answered by an error × its repeat, begun as that is told.
TEST_F(GrpcLoss, AReleaseThatDidNotArriveIsSentAgainOnAConnectionThatIsThere) {
  for (const bool lost : {true, false}) {
    std::vector<bool> told;
    std::unique_ptr<Call> again, release;
    release = client.release_reservation(node, "q", [&](bool arrived) {
      told.push_back(arrived);
      again = client.release_reservation(node, "q", [&](bool second) { told.push_back(second); });
    });
    ASSERT_TRUE(peer = stand_in.accept());
    ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
    if (lost)
      peer->drop();
    else
      peer->send(frame(
          HEADERS, END_HEADERS | END_STREAM, 1,
          peer->block({{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", "14"}})));
    ASSERT_TRUE(until([&] { return !told.empty(); }));
    EXPECT_FALSE(told.front());
    const std::uint32_t stream = lost ? 1 : 3;
    if (lost) {
      ASSERT_TRUE(peer = stand_in.accept());
    }
    ASSERT_TRUE(peer->until([&] { return peer->over(stream); }));
    peer->send(head(*peer, stream) + frame(DATA, NONE, stream, grpc::frame("")) + tail(*peer, stream));
    ASSERT_TRUE(peer->until([&] { return told.size() == 2; }));
    EXPECT_TRUE(told.back());
    peer->drop();
    ASSERT_TRUE(until([&] { return client.connections() == 0; }));
  }
}

// A node is let go of × a call to it: the call is not given to the connection that is about to close.
TEST_F(GrpcLoss, ACallDoesNotMeetTheCloseOfItsConnection) {
  NotedAttempt first, next;
  out(first);
  peer->send(head(*peer, 1) + prefill_done(1) + tail(*peer, 1));
  ASSERT_TRUE(peer->until([&] { return first.outcome.has_value(); }));
  client.close_idle_connections(node);
  begin(next, "next");
  Peer* another = stand_in.accept();
  ASSERT_TRUE(another);
  ASSERT_TRUE(another->until([&] { return another->over(1); }));
  EXPECT_FALSE(next.outcome);
  EXPECT_TRUE(peer->until([&] { return peer->closed; }));
  EXPECT_EQ(asked(*peer), Ids{"first"});
}

// Whoever is told of an event lets go of the call, with more events in the same piece.
TEST_F(GrpcLoss, ACallMayBeLetGoOfByAnEvent) {
  struct Letting : NotedAttempt {
    void on_data(std::string_view data) override {
      text += data;
      call.reset();
    }
  } letting;
  begin(letting, "letting");
  ASSERT_TRUE(peer = stand_in.accept());
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  peer->send(head(*peer, 1) + event(1, "a") + event(1, "b") + tail(*peer, 1));
  peer->settle();
  EXPECT_EQ(letting.text, "a");
  EXPECT_FALSE(letting.outcome);
}

// No descriptor is left × a connection is to be opened.
TEST_F(GrpcLoss, WithoutADescriptorACallHasNotRun) {
  NotedAttempt first, next;
  no_descriptor_left = true;
  begin(first, "first");
  no_descriptor_left = false;
  EXPECT_FALSE(first.outcome) << "told from within begin";
  // Whoever is told begins again, with descriptors there.
  first.then = [&] { begin(next, "next"); };
  ASSERT_TRUE(until([&] { return first.outcome.has_value(); }));
  EXPECT_EQ(first.outcome, Outcome::connect_failed);
  ASSERT_TRUE(peer = stand_in.accept());
  EXPECT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_EQ(asked(*peer), Ids{"next"});
}

}  // namespace
}  // namespace lemonroute::crossings
