// Program::drain: requests accepted before the drain, and requests that arrive later, are answered before the
// process is killed.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include "base/log.h"
#include "cli/program.h"
#include "config/platform.h"
#include "deployments/shapes.h"

namespace lemonroute {
namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

struct ProgramDrain : ::testing::Test {
  ProgramDrain() : silent_node(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    std::signal(SIGPIPE, SIG_IGN);
    logging::set_level(logging::Level::error);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(silent_node, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(silent_node, 8), 0);
    getsockname(silent_node, reinterpret_cast<sockaddr*>(&address), &size);
    auto settings = shapes::one_class();
    settings["lanes"][0]["hard-limit-us"] = 300000;  // the process is killed 0.7 s after that
    auto file = shapes::json::parse(shapes::file(settings));
    file["listen"] = "127.0.0.1:0";
    file["discovery"] = "127.0.0.1:9";  // nothing listens there, so the `known` list stays in effect
    file["known"]["instances"][0]["hostPort"] = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    platform = config::parse_platform(file.dump());
    program = std::make_unique<cli::Program>(loop, platform, config::Operator{}, [this] { return platform; });
  }
  ~ProgramDrain() override { close(silent_node); }
  int send_request(const std::string& id) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(program->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    const std::string text = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id +
                             "\r\nReq-Kind: estratto\r\nReq-Deadline: 20\r\nContent-Length: 2\r\n\r\n{}";
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    return fd;
  }
  // Returns the first bytes of the status line that arrive before `until`, or "" without any.
  std::string read_status(int fd, SteadyClock::time_point until) {
    char bytes[16] = {};
    while (SteadyClock::now() < until) {
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      const auto received = recv(fd, bytes, 12, MSG_DONTWAIT);
      if (received > 0)
        return {bytes, static_cast<std::size_t>(received)};
      usleep(1000);
    }
    return "";
  }
  net::Loop loop;
  int silent_node;
  config::Platform platform;
  std::unique_ptr<cli::Program> program;
};

TEST_F(ProgramDrain, AnswersWaitingRequestsBeforeTheKill) {
  const int early = send_request("early");
  const auto accept_until = SteadyClock::now() + 5s;
  int node = -1;
  while (node < 0 && SteadyClock::now() < accept_until) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    node = accept(silent_node, nullptr, nullptr);
  }
  ASSERT_GE(node, 0);  // a node has the request and never answers
  program->drain();
  const int late = send_request("late");
  const auto answer_until = SteadyClock::now() + 5s;  // less than the 20 s that the clients allow
  EXPECT_EQ(read_status(early, answer_until).substr(0, 9), "HTTP/1.1 ");
  EXPECT_EQ(read_status(late, answer_until).substr(0, 9), "HTTP/1.1 ");
  for (const int fd : {early, late, node})
    close(fd);
}

}  // namespace
}  // namespace lemonroute
