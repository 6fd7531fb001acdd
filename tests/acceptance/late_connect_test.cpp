// A connection to a node that comes up late, after the node was said to leave: a request that has waited for
// it is new work, and its first byte counts. Nothing may go out over 500 ms after the router was told.
#include "acceptance/door.h"
#include "base/log.h"
#include "core/router.h"
#include "http/node_client.h"

namespace lemonroute::acceptance {
namespace {

struct Stopped : Clock {
  Micros at = 24h;
  Micros now() const override { return at; }
};
struct Asker : Client {
  bool on_data(std::string_view) override { return true; }
  void finish() override {}
  void reject(Micros) override {}
  void fail(FailureReason) override {}
  void abort_stream() override {}
};

TEST(LateConnect, NothingGoesToANodeThatLeftMeanwhile) {
  logging::set_level(logging::Level::error);
  Door door(0);
  const net::SocketAddress to(door.address);
  int knocks[3];
  for (int& one : knocks) {  // the queue is full, so that the next who knocks has to wait
    one = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool up = connect(one, to.address(), static_cast<socklen_t>(to.length())) == 0;
    EXPECT_TRUE(up || errno == EINPROGRESS);
  }
  net::Loop loop;
  http::ClientLimits limits;
  limits.connect_timeout = 5s;  // as the settings may have it
  http::NodeClient nodes(loop, limits);
  Stopped clock;
  Settings s;
  s.classes.resize(1);
  s.classes[0].name = "k";
  s.classes[0].latency_objective = 2s;
  s.classes[0].deadline = 30s;
  s.role_by_kind = {Role::prefill, Role::decode};
  s.max_attempts = 6;
  s.connect_timeout = limits.connect_timeout;
  Router core(s, {"a"}, {"r", "w"}, 1, clock, nodes);
  Router::ListedNode reader{"r", door.address, "a", "r", 0, EndpointState::ready, 1, Micros(0)};
  core.update_endpoints(EndpointListKind::full, 1, {reader});
  Asker asker;
  ClientRequest client_request;
  client_request.prompt = {"q", "/", std::make_shared<std::string>("{}")};
  client_request.request_class = "k";
  client_request.prompt_tokens = 100;
  RequestId id = 0;
  ASSERT_EQ(core.submit(client_request, asker, id), Router::SubmitResult::accepted);
  reader.state = EndpointState::draining;
  core.update_endpoints(EndpointListKind::incremental, 2, {reader});
  clock.at += 600ms;
  core.run_timers();
  // Now it comes up: the kernel knocks again a second after the first time.
  std::string got;
  std::vector<int> peers;
  const auto end = std::chrono::steady_clock::now() + 1500ms;
  while (got.empty() && std::chrono::steady_clock::now() < end) {
    round(loop);
    if (readable(door.fd))
      peers.push_back(accept(door.fd, nullptr, nullptr));
    for (const int peer : peers)
      got += hear(peer).text;
  }
  EXPECT_EQ(got, "") << "sent after it was told to leave";
  for (const int peer : peers)
    close(peer);
  for (const int one : knocks)
    close(one);
}

}  // namespace
}  // namespace lemonroute::acceptance
