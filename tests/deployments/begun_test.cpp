// A node that begins to answer before all of the request has left, and breaks off then: it has begun,
// whatever bytes are left, so the attempt may have run.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include "http/node_client.h"

namespace lemonroute {
namespace {

struct Door {
  Door() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    bind(fd, reinterpret_cast<sockaddr*>(&at), size);
    listen(fd, 4);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~Door() { close(fd); }
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string address;
};

struct Noted : AttemptHandler {
  void on_request_written() override { all_written = true; }
  void on_data(std::string_view) override { ++events; }
  void on_done(AttemptResult with) override { result = std::move(with); }
  bool all_written = false;
  int events = 0;
  std::optional<AttemptResult> result;
};

// The outcome of a request too long for any kernel's buffers at a node that reads none of it.
Outcome broken_off(std::string_view said) {
  std::signal(SIGPIPE, SIG_IGN);  // as the program does
  Door door;
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = door.address;
  Noted attempt;
  const Prompt prompt{"q", "/v1/chat/completions", std::make_shared<std::string>(64 * 1024 * 1024, 'x')};
  const auto call = client.start_attempt(node, prompt, std::chrono::seconds(60), attempt);
  const int peer = accept(door.fd, nullptr, nullptr);
  EXPECT_EQ(send(peer, said.data(), said.size(), 0), static_cast<ssize_t>(said.size()));
  while (!said.empty() && attempt.events == 0)
    loop.run_once();
  close(peer);
  while (!attempt.result)
    loop.run_once();
  EXPECT_FALSE(attempt.all_written);
  return attempt.result->outcome;
}

TEST(Begun, AnAnswerThatHasBegunIsNoProofThatNothingRan) {
  EXPECT_EQ(broken_off(""), Outcome::connect_failed);
  EXPECT_EQ(broken_off("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n9\r\ndata: a\n\n\r\n"),
            Outcome::reset);
}

}  // namespace
}  // namespace lemonroute
