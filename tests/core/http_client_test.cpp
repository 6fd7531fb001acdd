// Calls to HTTP nodes that are let go of while their connection comes up: nothing of them is ever written.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include "base/log.h"
#include "http/node_client.h"

namespace lemonroute {
namespace {

struct Unheard : AttemptHandler {
  void on_request_written() override {}
  void on_data(std::string_view) override {}
  void on_done(AttemptResult) override {}
};

// In the turn of the loop in which the connection comes up, and then once more with one that is kept.
TEST(HttpUnsent, WhatIsLetGoOfBeforeTheConnectionIsUpIsNotWritten) {
  logging::set_level(logging::Level::error);
  std::signal(SIGPIPE,
              SIG_IGN);  // as the program does: what is still tried on a socket that is shut down fails
  const int door = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ASSERT_EQ(bind(door, reinterpret_cast<sockaddr*>(&at), size), 0);
  ASSERT_EQ(listen(door, 8), 0);
  getsockname(door, reinterpret_cast<sockaddr*>(&at), &size);
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  const auto begin = [&](const char* id, AttemptHandler& attempt) {
    return client.start_attempt(node, {id, "/", std::make_shared<std::string>("{}")}, std::chrono::seconds(3),
                                attempt);
  };
  const auto turn = [&] {
    for (int i = 0; i < 50; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  };
  std::string came;
  const auto take = [&] {
    for (int fd; (fd = accept(door, nullptr, nullptr)) >= 0; close(fd)) {
      char bytes[4096];
      const auto got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0)
        came.append(bytes, static_cast<std::size_t>(got));
    }
  };
  Unheard unheard;
  auto gone = begin("gone", unheard);
  EXPECT_TRUE(gone->not_sent());
  loop.defer([&] { gone.reset(); });
  turn();
  take();
  EXPECT_EQ(came, "");
  auto stays = begin("stays", unheard);
  turn();
  EXPECT_FALSE(stays->not_sent());
  take();
  EXPECT_NE(came.find("Req-Id: stays"), std::string::npos);
  EXPECT_EQ(came.find("gone"), std::string::npos);
  stays.reset();
  turn();
  close(door);
}

}  // namespace
}  // namespace lemonroute
