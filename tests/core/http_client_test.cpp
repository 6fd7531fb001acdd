// Calls to HTTP nodes that are destroyed while their connection is being established: nothing of them is
// written to the connection.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

#include "base/log.h"
#include "http/node_client.h"

namespace lemonroute {
namespace {

struct NullHandler : AttemptHandler {
  void on_request_written() override {}
  void on_data(std::string_view) override {}
  void on_done(AttemptResult) override {}
};

// Destroys one call in the loop iteration in which the connection is established, then sends another one.
TEST(HttpUnsentCall, IsNotWrittenWhenDestroyedBeforeTheConnectionIsEstablished) {
  logging::set_level(logging::Level::error);
  // As the program does, so that writes to a closed socket return an error.
  std::signal(SIGPIPE, SIG_IGN);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
  ASSERT_EQ(listen(listener, 8), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  net::Loop loop;
  http::NodeClient client(loop, http::ClientLimits{});
  Node node;
  node.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  const auto start_attempt = [&](const char* id, AttemptHandler& attempt_handler) {
    return client.start_attempt(node, {id, "/", std::make_shared<std::string>("{}")}, std::chrono::seconds(3),
                                attempt_handler);
  };
  const auto run_loop = [&] {
    for (int i = 0; i < 50; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  };
  std::string received;
  const auto receive_all = [&] {
    for (int fd; (fd = accept(listener, nullptr, nullptr)) >= 0; close(fd)) {
      char bytes[4096];
      const auto size_received = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (size_received > 0)
        received.append(bytes, static_cast<std::size_t>(size_received));
    }
  };
  NullHandler handler;
  auto destroyed = start_attempt("destroyed", handler);
  EXPECT_TRUE(destroyed->not_sent());
  loop.defer([&] { destroyed.reset(); });
  run_loop();
  receive_all();
  EXPECT_EQ(received, "");
  auto kept = start_attempt("kept", handler);
  run_loop();
  EXPECT_FALSE(kept->not_sent());
  receive_all();
  EXPECT_NE(received.find("Req-Id: kept"), std::string::npos);
  EXPECT_EQ(received.find("destroyed"), std::string::npos);
  kept.reset();
  run_loop();
  close(listener);
}

}  // namespace
}  // namespace lemonroute
