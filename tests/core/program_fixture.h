// The whole program on one loop with its clients, before one node that listens and never answers.
#pragma once

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/log.h"
#include "cli/program.h"
#include "config/platform.h"
#include "deployments/shapes.h"

namespace lemonroute::test {

using SteadyClock = std::chrono::steady_clock;

struct ProgramFixture : ::testing::Test {
  ProgramFixture() : silent_node(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    std::signal(SIGPIPE, SIG_IGN);
    logging::set_level(logging::Level::error);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(silent_node, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(silent_node, 8), 0);
    getsockname(silent_node, reinterpret_cast<sockaddr*>(&address), &size);
    node_port = ntohs(address.sin_port);
  }
  ~ProgramFixture() override { close(silent_node); }

  /// Starts the program with the platform's file as `edit` changes it.
  void start(const std::function<void(shapes::json& file)>& edit, const config::Operator& settings = {}) {
    auto file = shapes::json::parse(shapes::file(shapes::one_class()));
    file["listen"] = "127.0.0.1:0";
    file["name"] =
        "n3-" + std::to_string(getpid());  // processes of one name are one router, which hands over
    file["discovery"] = "127.0.0.1:9";     // nothing listens there, so the `known` list stays in effect
    file["known"]["instances"][0]["hostPort"] = "127.0.0.1:" + std::to_string(node_port);
    edit(file);
    platform = config::parse_platform(file.dump());
    program = std::make_unique<cli::Program>(loop, platform, settings, [this] { return platform; });
  }

  static sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  int connect_client() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(program->port());
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    return fd;
  }
  static std::string head(const std::string& id, std::size_t body_size,
                          const std::string& kind = "estratto") {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
           "\r\nReq-Deadline: 20\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
  }
  static void send_all(int fd, std::string_view text) {
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  int send_request(const std::string& id) {
    const int fd = connect_client();
    send_all(fd, head(id, 2) + "{}");
    return fd;
  }
  /// Handles what is ready on the loop, without waiting.
  void turn() { event_base_loop(loop.base(), EVLOOP_NONBLOCK); }
  /// Runs the loop until `until`.
  void run_until(SteadyClock::time_point until) {
    while (SteadyClock::now() < until) {
      turn();
      usleep(1000);
    }
  }
  /// Returns the bytes that have arrived at the client.
  static std::string received(int fd) {
    std::string all;
    char bytes[4096];
    for (ssize_t size; (size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
      all.append(bytes, static_cast<std::size_t>(size));
    return all;
  }
  /// Returns the first bytes of the status line that arrive before `until`, or "" without any.
  std::string read_status(int fd, SteadyClock::time_point until) {
    char bytes[16] = {};
    while (SteadyClock::now() < until) {
      turn();
      const auto size = recv(fd, bytes, 12, MSG_DONTWAIT);
      if (size > 0)
        return {bytes, static_cast<std::size_t>(size)};
      usleep(1000);
    }
    return "";
  }
  /// Returns the next connection that the program opens to the node, or -1 if it opens none before `until`.
  int accept_at_node(SteadyClock::time_point until) {
    int fd = -1;
    while (fd < 0 && SteadyClock::now() < until) {
      turn();
      fd = accept(silent_node, nullptr, nullptr);
    }
    return fd;
  }

  net::Loop loop;
  int silent_node;
  std::uint16_t node_port = 0;
  config::Platform platform;
  std::unique_ptr<cli::Program> program;
};

}  // namespace lemonroute::test
