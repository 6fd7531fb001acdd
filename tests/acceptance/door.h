// A socket that takes connections on loopback, driven by hand beside a loop; and who asks through an
// http::Client.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>

#include "http/client.h"

namespace lemonroute::acceptance {

using namespace std::chrono_literals;

struct Door {
  explicit Door(int backlog = 16) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(fd, backlog), 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    address = "127.0.0.1:" + std::to_string(port);
  }
  ~Door() { close(fd); }
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::uint16_t port = 0;
  std::string address;
};

inline bool readable(int fd, int ms = 0) {
  pollfd one{fd, POLLIN, 0};
  return poll(&one, 1, ms) == 1;
}
inline void say(int fd, std::string_view text) {
  EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
}
// What has come by now, and whether the other side ended its sending.
struct Heard {
  std::string text;
  bool ended = false;
};
inline Heard hear(int fd) {
  Heard heard;
  char bytes[4096];
  while (readable(fd)) {
    const auto size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (size <= 0)
      return heard.ended = true, heard;
    heard.text.append(bytes, static_cast<std::size_t>(size));
  }
  return heard;
}
// One round of the loop, of 1 ms at the most.
inline void round(net::Loop& loop) {
  net::Timer look(loop, [] {});
  look.start(1ms);
  loop.run_once();
}
// Until it holds; a hang is a failure, told by the wall clock of which nothing else here depends.
template <class Holds>
bool until(net::Loop& loop, Holds holds, std::chrono::seconds most = 20s) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    round(loop);
  }
  return true;
}

struct Answer : http::Listener {
  void written() override { all_written = true; }
  void head(const http::Head& head) override { status = head.status; }
  void body(std::string_view piece) override { text += piece; }
  void ended(http::Ending with) override { how = with; }
  bool over() const { return how.has_value(); }
  int status = 0;
  bool all_written = false;
  std::string text;
  std::optional<http::Ending> how;
};

}  // namespace lemonroute::acceptance
