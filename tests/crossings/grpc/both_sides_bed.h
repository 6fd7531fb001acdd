// The gRPC front, the core and the gRPC node client together, on one loop with a client and two stand-in
// nodes.
#pragma once

#include <csignal>

#include "base/log.h"
#include "crossings/grpc/front_client.h"
#include "grpc/node_client.h"

namespace lemonroute::crossings {

struct BothSides : ::testing::Test {
  BothSides() {
    logging::set_level(logging::Level::error);
    std::signal(SIGPIPE, SIG_IGN);
    core.on_change = [this] {
      if (const auto at = core.next_timer())
        due.start(*at - clock.now());
    };
    core.update_endpoints(EndpointListKind::full, 1,
                          {{"r", prefill.address, "a", "r", 0, EndpointState::ready, 1, {}},
                           {"w", decode.address, "a", "w", 0, EndpointState::ready, 1, {}}});
    server.add(front);
    client = dial();
  }
  ~BothSides() override { core.on_change = nullptr; }
  std::unique_ptr<Peer> dial() { return std::make_unique<Peer>(loop, no_delay(Peer::dial(server.port()))); }
  bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }

  // The stream on which a node was asked for `id`; 0 if it was not.
  static std::uint32_t stream_of(const Peer& node, const string& id) {
    for (const auto& one : node.seen)
      if (one.type == HEADERS && grpc::find(one.headers, "req-id") == id)
        return one.stream;
    return 0;
  }
  // Waits until the node has the whole request.
  static std::uint32_t take(Peer& node, const string& id) {
    std::uint32_t stream = 0;
    node.until([&] { return (stream = stream_of(node, id)) > 0 && node.over(stream); });
    return stream;
  }
  static std::size_t releases(const Peer& node) {
    const Ids paths = asked(node, ":path");
    return static_cast<std::size_t>(std::count(paths.begin(), paths.end(), "/lemonroute.v1.Node/Release"));
  }
  static string prefill_answer(Peer& node, std::uint32_t stream) {
    return head(node, stream) + prefill_done(stream) + tail(node, stream);
  }
  // Its prompt is read, and the decode node has it: the stream there.
  std::uint32_t to_decode(const string& id) {
    const std::uint32_t at = take(*reader, id);
    reader->send(prefill_answer(*reader, at));
    if (!writer)
      writer = decode.accept();
    const std::uint32_t stream = writer ? take(*writer, id) : 0;
    if (stream > 0)
      writer->send(head(*writer, stream));
    return stream;
  }
  void serve(Peer& asks, std::uint32_t stream, const string& id) {
    const std::uint32_t at = to_decode(id);
    ASSERT_GT(at, 0u);
    writer->send(event(at, "x") + tail(*writer, at));
    ASSERT_TRUE(asks.until([&] { return asks.over(stream); }));
    EXPECT_EQ(asks.field(stream, "grpc-status"), "0");
  }

  net::Loop loop;
  SystemClock clock;
  StandInNode prefill{loop}, decode{loop};
  grpc::NodeClient nodes{loop, grpc::Session::Limits{std::chrono::seconds(5)}};
  Router core{test::settings(), {"a"}, {"r", "w"}, 1, clock, nodes};
  net::Timer due{loop, [this] { core.run_timers(); }};
  grpc::Front front{core};
  grpc::Server server{loop, "127.0.0.1:0", 16};
  std::unique_ptr<Peer> client;
  Peer* reader = nullptr;  // the connections to the prefill node and to the decode node
  Peer* writer = nullptr;
};

}  // namespace lemonroute::crossings
