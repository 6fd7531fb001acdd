// The start of the program on loopback: ready soon whatever discovery does, and nothing sent by an older list
// than the agent has.
#include <gtest/gtest.h>

#include <csignal>

#include "base/log.h"
#include "cli/program.h"
#include "deployments/shapes.h"
#include "http/client.h"
#include "net/connection.h"

namespace lemonroute::cli {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// Takes connections and does with what comes what the test says.
struct Server {
  struct Visit : net::Connection::Handler {
    Visit(Server& of, evutil_socket_t fd)
        : server(of),
          connection(of.loop, fd, *this),
          later(of.loop, [this] { connection.write(server.text); }) {}
    void on_readable() override {
      ++server.heard;
      evbuffer_drain(connection.input(), evbuffer_get_length(connection.input()));
      if (!server.text.empty())
        later.start(server.after);
    }
    void on_closed() override {}
    Server& server;
    net::Connection connection;
    net::Timer later;
  };
  explicit Server(net::Loop& on) : loop(on) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  net::Loop& loop;
  std::string text;  // the answer; none: it stays silent
  Micros after{};
  int heard = 0;
  std::vector<std::unique_ptr<Visit>> visits;
  net::Listener listener{loop, "127.0.0.1:0", [this](evutil_socket_t fd) {
                           visits.push_back(std::make_unique<Visit>(*this, fd));
                         }};
};

struct Asked : http::Listener {
  void head(const http::Head& head) override { status = head.status; }
  void body(std::string_view) override {}
  void ended(http::Ending) override { over = true; }
  int status = 0;
  bool over = false;
};

int status_of(net::Loop& loop, std::uint16_t port, const std::string& text) {
  http::Client client(loop, {});
  Asked asked;
  const auto exchange = client.start("127.0.0.1:" + std::to_string(port), text, {}, asked);
  while (!asked.over)
    loop.run_once();
  return asked.status;
}

config::Platform platform(const std::string& discovery, const std::string& node = "127.0.0.1:1") {
  auto file = shapes::json::parse(shapes::file(shapes::one_class()));
  file["name"] = "start-" + std::to_string(getpid());
  file["listen"] = "127.0.0.1:0";
  file["discovery"] = discovery;
  file["known"]["instances"][0]["hostPort"] = node;
  return config::parse_platform(file.dump());
}

const Reload no_reload = []() -> config::Platform { throw config::ConfigError("there is no file"); };

std::string answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(StartOrder, IsReadySoonWhateverDiscoveryDoes) {
  logging::set_level(logging::Level::error);
  net::Loop loop;
  Server silent(loop), spoilt(loop);
  spoilt.text = answer("{\"generation\":");
  std::string refusing;
  refusing = Server(loop).address();  // nobody listens there any more
  for (const std::string& discovery : {silent.address(), spoilt.address(), refusing}) {
    const auto begun = steady_clock::now();
    Program program(loop, platform(discovery), {}, no_reload);
    EXPECT_EQ(status_of(loop, program.port(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
    EXPECT_LT(steady_clock::now() - begun, 5s)
        << discovery;  // half a second, on a machine with nothing else to do
  }
  EXPECT_GT(silent.heard, 1);
  EXPECT_GT(spoilt.heard, 1);
}

// The agent has had the node as draining for long; `known` has it as ready. The list takes a moment to come.
TEST(StartOrder, NothingIsSentBeforeTheFirstList) {
  logging::set_level(logging::Level::error);
  net::Loop loop;
  Server agent(loop), node(loop);
  agent.after = 20ms;
  agent.text =
      answer(R"({"generation":50,"reset":true,"instances":[{"instanceId":"s-1","hostPort":")" +
             node.address() + R"(","zone":"milano","machineType":"lettura","lifecycle":"leaving"}]})");
  Program program(loop, platform(agent.address(), node.address()), {}, no_reload);
  const std::string body(64, 'x');
  EXPECT_EQ(
      status_of(
          loop, program.port(),
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
          "Req-Kind: estratto\r\nReq-Key: 1\r\nReq-Deadline: 0.500\r\nReq-Extra: prompt_len=16,max_out=8\r\n"
          "Content-Length: 64\r\n\r\n" +
              body),
      429);
  EXPECT_EQ(node.heard, 0);
}

// An order that comes while the first list is waited for is carried out afterwards, and does not end the
// program.
TEST(StartOrder, AnOrderDuringTheStartWaits) {
  logging::set_level(logging::Level::error);
  net::Loop loop;
  Server silent(loop);
  int reloads = 0;
  net::Timer order(loop, [] { kill(getpid(), SIGHUP); });
  order.start(50ms);
  const auto settings = platform(silent.address());
  Program program(loop, settings, {}, [&] {
    ++reloads;
    return settings;
  });
  EXPECT_EQ(reloads, 0);
  while (reloads == 0)
    loop.run_once();
  EXPECT_EQ(status_of(loop, program.port(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
}

}  // namespace
}  // namespace lemonroute::cli
