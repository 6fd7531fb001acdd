// Events of many streams × a client that takes nothing: each event is passed on within 0.3 s, by the clock,
// and one by one.
#include <iostream>

#include "crossings/http/stream_play.h"

namespace lemonroute::acceptance {
namespace {

constexpr auto passed_on_within = 300ms;

void all_in_time(const StreamPlay& play, std::size_t events) {
  std::chrono::microseconds most{0};
  for (const Stream& stream : play.streams()) {
    if (stream.slow)
      continue;
    EXPECT_TRUE(stream.ended);
    EXPECT_EQ(stream.read, events);
    EXPECT_LT(stream.most_delay, passed_on_within);
    most = std::max(most, stream.most_delay);
  }
  std::cout << "the longest delay of an event: " << most.count() / 1000.0
            << " ms; the longest round of the peers: " << play.longest_round().count() / 1000.0
            << " ms, of the router " << play.longest_router_round().count() / 1000.0
            << " ms, in which it ran " << play.ran_in_it().count() / 1000.0 << " ms\n";
}

// No event waits for the next one, for a full buffer or for an acknowledgement: each is written only once its
// client has the one before it. Beside it streams a client that never reads.
TEST(Streams, EventsAreNotGathered) {
  constexpr std::size_t events = 400;
  StreamPlay play({Stream{.in_turn = true}, Stream{.in_turn = true}, Stream{.slow = true}}, events, 0ms);
  ASSERT_TRUE(play.play());
  all_in_time(play, events);
  for (const Stream& stream : play.streams())
    EXPECT_LE(stream.most_in_a_read, 1u);
}

TEST(Streams, EventsAreInTimeBesideAClientThatTakesNothing) {
  constexpr std::size_t events = 200;
  std::vector<Stream> streams(16);
  streams.push_back({.slow = true});
  StreamPlay play(streams, events, 10ms);
  ASSERT_TRUE(play.play());
  all_in_time(play, events);
  // What its node could write is bounded by the buffers on the way: the stream is held back.
  EXPECT_LT(play.streams().back().written * StreamPlay::slow_event, 32u * 1024 * 1024);
}

TEST(Streams, EventsOfManyAreInTime) {
  constexpr std::size_t events = 40;
  std::vector<Stream> streams(120);
  streams.push_back({.slow = true});
  streams.push_back({.slow = true});
  StreamPlay play(streams, events, 50ms);
  ASSERT_TRUE(play.play());
  all_in_time(play, events);
}

}  // namespace
}  // namespace lemonroute::acceptance
