// Events are passed on one by one and within 0.3 s, under load and beside clients that take nothing. Measured
// from the stand-in's write of an event to the client's read of it.
#include <cstdio>

#include "crossings/grpc/both_sides_bed.h"

namespace lemonroute::crossings {
namespace {

using std::chrono::milliseconds;

constexpr double most_delay_ms = 300;
constexpr std::uint32_t streams_beside = 12;  // that carry events as well
constexpr std::uint32_t slow_streams = 6;     // on each of two connections
constexpr std::size_t slow_bytes = 56 * 1024, slow_piece = 8 * 1024;
constexpr int events = 60;
constexpr milliseconds event_every{10};

struct GrpcEvents : BothSides {
  // A call whose answer has begun: its stream at the decode node.
  std::uint32_t open(Peer& asks, std::uint32_t stream, const string& id) {
    asks.send(call(asks, stream, id));
    if (!reader)
      reader = prefill.accept();
    return to_decode(id);
  }
  void fill(std::uint32_t at) {
    for (std::size_t sent = 0; sent < slow_bytes; sent += slow_piece)
      writer->send(event(at, string(slow_piece, 's')));
  }
};

TEST_F(GrpcEvents, ComeOneByOneBesideClientsThatTakeNothing) {
  // No stream has a window but those that are given one; the connection's is wide.
  ASSERT_TRUE(hello(*client, setting(4, 0)));
  client->send(frame(WINDOW_UPDATE, NONE, 0, number(0x7fff0000)));
  const auto deaf = dial();  // reads nothing once its calls are open
  ASSERT_TRUE(hello(*deaf, setting(4, 0x7fffffff)));
  deaf->send(frame(WINDOW_UPDATE, NONE, 0, number(0x7fff0000)));
  std::uint32_t stream = 1;
  for (std::uint32_t i = 0; i < slow_streams; ++i, stream += 2) {
    const std::uint32_t same = open(*client, stream, "same" + std::to_string(i));
    const std::uint32_t other = open(*deaf, stream, "other" + std::to_string(i));
    ASSERT_TRUE(same > 0 && other > 0);
    fill(same);
    fill(other);
  }
  struct Quick {
    std::uint32_t asked, at;
  };
  std::vector<Quick> quick;
  for (std::uint32_t i = 0; i <= streams_beside; ++i, stream += 2) {
    quick.push_back({stream, open(*client, stream, "quick" + std::to_string(i))});
    ASSERT_GT(quick.back().at, 0u);
    client->send(frame(WINDOW_UPDATE, NONE, stream, number(1 << 20)));
  }
  client->settle();
  std::vector<double> delays;
  for (int i = 0; i < events; ++i) {
    std::vector<SteadyClock::time_point> written;
    for (const Quick& one : quick) {
      written.push_back(SteadyClock::now());
      writer->send(event(one.at, "event " + std::to_string(i)));
    }
    std::vector<bool> read(quick.size());
    for (std::size_t left = quick.size(); left > 0;) {
      ASSERT_LT(SteadyClock::now() - written.front(), patience) << "event " << i << " does not come";
      client->turn();
      for (std::size_t n = 0; n < quick.size(); ++n) {
        const auto texts = read[n] ? std::vector<string>() : events_of(*client, quick[n].asked);
        if (read[n] || texts.size() <= static_cast<std::size_t>(i))
          continue;
        ASSERT_EQ(texts.size(), static_cast<std::size_t>(i) + 1) << "a lump";
        EXPECT_EQ(texts.back(), "event " + std::to_string(i));
        delays.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - written[n]).count());
        EXPECT_LT(delays.back(), most_delay_ms);
        read[n] = true;
        --left;
      }
    }
    for (const auto next = written.front() + event_every; SteadyClock::now() < next;)
      client->turn();
  }
  std::sort(delays.begin(), delays.end());
  std::printf("%zu events on %zu streams: median %.2f ms, 99 %% %.2f ms, longest %.2f ms\n", delays.size(),
              quick.size(), delays[delays.size() / 2], delays[delays.size() * 99 / 100], delays.back());
  for (std::uint32_t slow = 1; slow < 2 * slow_streams; slow += 2)
    EXPECT_EQ(client->body(slow), "");
}

}  // namespace
}  // namespace lemonroute::crossings
