// Calls that wait for their connection or for a place on it, and what meets them there.
#include "crossings/grpc/node_client_bed.h"

namespace lemonroute::crossings {
namespace {

using std::chrono::milliseconds;

struct GrpcWaiting : NodeClientBed {
  // One call is out on a connection with one place; what is begun next waits.
  void take_the_only_place() {
    begin(first, "first");
    ASSERT_TRUE(peer = stand_in.accept(1));
    ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  }
  Micros told_of(std::size_t request) {
    return grpc::parse_timeout(asked(*peer, "grpc-timeout").at(request)).value_or(Micros::max());
  }
  NotedAttempt first;
  Peer* peer = nullptr;
};

// The time that a node is told is what is left when the request is written, not when it was decided.
TEST_F(GrpcWaiting, ForAPlaceIsTakenFromTheTimeThatTheNodeIsTold) {
  take_the_only_place();
  NotedAttempt waits;
  begin(waits, "waits", std::chrono::seconds(3));
  const auto deadline = SteadyClock::now() + std::chrono::seconds(3);
  peer->settle();
  pass(milliseconds(30));
  const auto left = std::chrono::duration_cast<Micros>(deadline - SteadyClock::now());
  peer->send(reset(1, CANCEL));
  ASSERT_TRUE(peer->until([&] { return asked(*peer).size() == 2; }));
  EXPECT_LE(told_of(1), left);
  EXPECT_GT(told_of(1), left - std::chrono::seconds(1));
}

TEST_F(GrpcWaiting, ForTheConnectionIsTakenFromTheTimeThatTheNodeIsTold) {
  begin(first, "first", std::chrono::seconds(3));
  const auto deadline = SteadyClock::now() + std::chrono::seconds(3);
  pass(milliseconds(30));
  const auto left = std::chrono::duration_cast<Micros>(deadline - SteadyClock::now());
  ASSERT_TRUE(peer = stand_in.accept());
  ASSERT_TRUE(peer->until([&] { return peer->over(1); }));
  EXPECT_LE(told_of(0), left);
}

// Its time ends × a place becomes free: one that is late is not written, and holds up nobody behind it.
TEST_F(GrpcWaiting, UntilItsTimeIsOverIsNotWritten) {
  take_the_only_place();
  NotedAttempt late, behind;
  begin(late, "late", milliseconds(10));
  begin(behind, "behind");
  peer->settle();
  pass(milliseconds(20));
  peer->send(reset(1, CANCEL));
  ASSERT_TRUE(peer->until([&] { return asked(*peer).size() == 2; }));
  peer->settle();
  EXPECT_EQ(asked(*peer), (Ids{"first", "behind"}));
  EXPECT_TRUE(late.call->not_sent());
  late.call.reset();
  peer->settle();
  EXPECT_EQ(peer->find(RST_STREAM, 3), nullptr) << "a stream that was never opened";
}

// A call is given up × a place becomes free, and a call behind it on the same connection.
TEST_F(GrpcWaiting, GivenUpBeforeThePlaceIsFreeOrJustAfter) {
  for (const bool before : {true, false}) {
    first = NotedAttempt();
    take_the_only_place();
    NotedAttempt gone, behind;
    begin(gone, "gone");
    begin(behind, "behind");
    peer->settle();
    if (before)
      gone.call.reset();
    peer->send(reset(1, CANCEL));
    if (!before) {
      ASSERT_TRUE(peer->until([&] { return asked(*peer).size() == 2; }));
      EXPECT_FALSE(gone.call->not_sent());
      gone.call.reset();
      ASSERT_TRUE(peer->until([&] { return peer->find(RST_STREAM, 3) != nullptr; }));
    }
    ASSERT_TRUE(peer->until([&] { return asked(*peer).back() == "behind"; }));
    peer->settle();
    EXPECT_EQ(asked(*peer), before ? (Ids{"first", "behind"}) : (Ids{"first", "gone", "behind"}));
    behind.call.reset();
    first.call.reset();
    peer->send(goaway(0x7fffffff));  // the next round gets a connection of its own
    peer->settle();
  }
}

// GOAWAY × a call that waits for a place: it has not run, and is told so at once; what is out goes on.
TEST_F(GrpcWaiting, IsOverWithGoaway) {
  take_the_only_place();
  NotedAttempt waits, too;
  begin(waits, "waits");
  begin(too, "too");
  peer->settle();
  // Whoever is told begins the next attempt there and then; it must not come back to this connection.
  NotedAttempt next;
  waits.then = [&] { begin(next, "next"); };
  peer->send(goaway(1));
  ASSERT_TRUE(peer->until([&] { return waits.outcome && too.outcome; }));
  EXPECT_EQ(waits.outcome, Outcome::connect_failed);
  EXPECT_EQ(too.outcome, Outcome::connect_failed);
  EXPECT_FALSE(first.outcome);
  Peer* another = stand_in.accept();
  ASSERT_TRUE(another);
  ASSERT_TRUE(another->until([&] { return another->over(1); }));
  EXPECT_EQ(asked(*another), Ids{"next"});
  peer->send(head(*peer, 1) + prefill_done(1) + tail(*peer, 1));
  ASSERT_TRUE(peer->until([&] { return first.outcome.has_value(); }));
  EXPECT_EQ(first.outcome, Outcome::prefill_done);
  EXPECT_EQ(asked(*peer), Ids{"first"});
}

// The other order: the place was free and the request written before the GOAWAY that passes it over.
TEST_F(GrpcWaiting, IsOverWithAGoawayThatPassesOverWhatWasJustWritten) {
  take_the_only_place();
  NotedAttempt waits;
  begin(waits, "waits");
  peer->settle();
  peer->send(reset(1, CANCEL));
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  peer->send(goaway(1));
  ASSERT_TRUE(peer->until([&] { return waits.outcome.has_value(); }));
  EXPECT_EQ(waits.outcome, Outcome::connect_failed);
}

// The peer allows fewer streams × calls that wait: none is written beyond what it allows.
TEST_F(GrpcWaiting, KeepsToALoweredNumberOfStreams) {
  NotedAttempt second, waits;
  begin(first, "first");
  begin(second, "second");
  ASSERT_TRUE(peer = stand_in.accept(2));
  ASSERT_TRUE(peer->until([&] { return peer->over(3); }));
  begin(waits, "waits");
  peer->settle();
  peer->send(frame(SETTINGS, NONE, 0, setting(3, 1)) + reset(1, CANCEL));
  peer->settle();
  EXPECT_EQ(asked(*peer), (Ids{"first", "second"}));
  EXPECT_TRUE(waits.call->not_sent());
  peer->send(reset(3, CANCEL));
  ASSERT_TRUE(peer->until([&] { return asked(*peer).size() == 3; }));
  EXPECT_FALSE(waits.outcome);
}

// Where it allows none any more a call has not run, as a new one would not.
TEST_F(GrpcWaiting, IsOverWhereNoStreamIsAllowed) {
  take_the_only_place();
  NotedAttempt waits;
  begin(waits, "waits");
  peer->settle();
  peer->send(frame(SETTINGS, NONE, 0, setting(3, 0)));
  ASSERT_TRUE(peer->until([&] { return waits.outcome.has_value(); }));
  EXPECT_EQ(waits.outcome, Outcome::connect_failed);
  EXPECT_FALSE(first.outcome);
}

// A node that takes no bytes × a call that is given up: nothing of it is behind those bytes.
TEST_F(GrpcWaiting, BehindBytesThatTheNodeDoesNotTakeIsNotWritten) {
  begin(first, "first");
  constexpr std::uint32_t wide = 0x7fffffff;
  ASSERT_TRUE(peer = stand_in.accept(100000, setting(4, wide)));
  peer->send(frame(WINDOW_UPDATE, NONE, 0, number(0x7fff0000)));
  peer->settle();
  // Until one does not leave: the kernel takes no more, and a part of it is with the connection.
  constexpr std::size_t piece = 24 * 1024;
  constexpr int most_pieces = 4000;
  std::vector<std::unique_ptr<NotedAttempt>> many;
  do {
    many.push_back(std::make_unique<NotedAttempt>());
    begin(*many.back(), "many" + std::to_string(many.size()), std::chrono::seconds(30), string(piece, 'x'));
    turn_often(loop);
  } while (many.back()->sent && many.size() < most_pieces);
  ASSERT_FALSE(many.back()->sent);
  NotedAttempt gone, stays;
  begin(gone, "gone");
  turn_often(loop);
  EXPECT_TRUE(gone.call->not_sent());
  gone.call.reset();
  begin(stays, "stays");
  turn_often(loop);
  ASSERT_TRUE(peer->until([&] { return !asked(*peer).empty() && asked(*peer).back() == "stays"; }));
  peer->settle();
  const Ids all = asked(*peer);
  EXPECT_EQ(std::count(all.begin(), all.end(), "gone"), 0);
}

}  // namespace
}  // namespace lemonroute::crossings
