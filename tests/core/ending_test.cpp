// The program that is told to end: what it has taken by then, and what comes later, is answered before it is
// killed.
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
using Wall = std::chrono::steady_clock;

struct Ending : ::testing::Test {
  Ending() : silent(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    std::signal(SIGPIPE, SIG_IGN);
    logging::set_level(logging::Level::error);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(silent, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(silent, 8), 0);
    getsockname(silent, reinterpret_cast<sockaddr*>(&at), &size);
    auto settings = shapes::one_class();
    settings["lanes"][0]["hard-limit-us"] = 300000;  // it is killed 0.7 s after that
    auto file = shapes::json::parse(shapes::file(settings));
    file["listen"] = "127.0.0.1:0";
    file["discovery"] = "127.0.0.1:9";  // nobody is there; what is known holds
    file["known"]["instances"][0]["hostPort"] = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    platform = config::parse_platform(file.dump());
    program = std::make_unique<cli::Program>(loop, platform, config::Operator{}, [this] { return platform; });
  }
  ~Ending() override { close(silent); }
  int ask(const std::string& id) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(program->port());
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    const std::string text = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id +
                             "\r\nReq-Kind: estratto\r\nReq-Deadline: 20\r\nContent-Length: 2\r\n\r\n{}";
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    return fd;
  }
  // The status that comes until then, in words; "" if none does.
  std::string answer(int fd, Wall::time_point until) {
    char bytes[16] = {};
    while (Wall::now() < until) {
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      const auto got = recv(fd, bytes, 12, MSG_DONTWAIT);
      if (got > 0)
        return {bytes, static_cast<std::size_t>(got)};
      usleep(1000);
    }
    return "";
  }
  net::Loop loop;
  int silent;
  config::Platform platform;
  std::unique_ptr<cli::Program> program;
};

TEST_F(Ending, AnswersWhatWaitsBeforeItIsKilled) {
  const int early = ask("early");
  const auto open = Wall::now() + 5s;
  int node = -1;
  while (node < 0 && Wall::now() < open) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    node = accept(silent, nullptr, nullptr);
  }
  ASSERT_GE(node, 0);  // a node has it, and will not say a word
  program->drain();
  const int late = ask("late");
  const auto most = Wall::now() + 5s;  // its clients would wait for 20 s
  EXPECT_EQ(answer(early, most).substr(0, 9), "HTTP/1.1 ");
  EXPECT_EQ(answer(late, most).substr(0, 9), "HTTP/1.1 ");
  for (const int fd : {early, late, node})
    close(fd);
}

}  // namespace
}  // namespace lemonroute
