// A front on loopback before the core of the test's own clock and nodes, and clients that are plain sockets:
// what the kernel says of them is what is looked at.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <string>
#include <string_view>

#include "../net/core_bed.h"
#include "http/front.h"

namespace lemonroute::test {

inline const auto no_pipe_signal = std::signal(SIGPIPE, SIG_IGN);  // as the program has it

class Plug {
 public:
  explicit Plug(std::uint16_t port, int receive_buffer = 0)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer)
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert(fd_ >= 0 && ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  Plug(Plug&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~Plug() { close(); }
  // As much as the kernel takes at once; how much that was.
  std::size_t send(std::string_view bytes) {
    const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  // All that has come. Afterwards `ended` says whether the peer's end came behind it, `error` what else did.
  std::string read() {
    std::string all;
    char part[4096];
    for (;;) {
      const auto got = recv(fd_, part, sizeof part, MSG_DONTWAIT);
      ended = got == 0;
      error = got < 0 && errno != EAGAIN ? errno : 0;
      if (got <= 0)
        return all;
      all.append(part, static_cast<std::size_t>(got));
    }
  }
  void end_sending() { shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ >= 0)
      ::close(std::exchange(fd_, -1));
  }
  void reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  bool ended = false;
  int error = 0;

 private:
  int fd_;
};

struct Door : Bed {
  net::Loop loop;
  http::Front front;
  explicit Door(std::size_t places = 16, http::Front::Options options = {})
      : front(loop, core, at_loopback(std::move(options), places)) {
    nodes.many = true;
  }
  // Loopback hands bytes on at once: a few rounds without waiting see everything that is under way.
  void settle() {
    for (int i = 0; i < 200; ++i)
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
  }
  Plug client(int receive_buffer = 0) {
    Plug plug(front.port(), receive_buffer);
    settle();
    return plug;
  }
  // Rounds until `holds`, within the time given of the wall clock.
  template <class Holds>
  bool until(Holds holds, std::chrono::milliseconds most) {
    const auto end = std::chrono::steady_clock::now() + most;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    return true;
  }
  static std::string request(const std::string& id, const std::string& fields = {}) {
    return "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: k\r\n" + fields +
           "Content-Length: 2\r\n\r\n{}";
  }
  std::size_t sent() const { return nodes.begun.size(); }  // attempts begun at nodes
  bool out() const { return !nodes.begun.empty() && nodes.begun.back().open; }
  AttemptHandler& last() { return *nodes.begun.back().attempt; }

 private:
  static http::Front::Options at_loopback(http::Front::Options options, std::size_t places) {
    options.listen = {"127.0.0.1:0"};
    options.most_connections = places;
    return options;
  }
};

}  // namespace lemonroute::test
