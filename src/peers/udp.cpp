#include "peers/udp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace lemonroute::peers {
namespace {

// Timers of the loop are looked at after so many.
constexpr int at_once = 64;
constexpr int buffered = 1 << 20;  // bytes in the kernel; it may allow fewer

std::string text_of(const sockaddr_storage& from) {
  char host[INET6_ADDRSTRLEN] = "";
  if (from.ss_family == AF_INET6) {
    const auto& six = reinterpret_cast<const sockaddr_in6&>(from);
    inet_ntop(AF_INET6, &six.sin6_addr, host, sizeof host);
    return '[' + std::string(host) + "]:" + std::to_string(ntohs(six.sin6_port));
  }
  const auto& four = reinterpret_cast<const sockaddr_in&>(from);
  inet_ntop(AF_INET, &four.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(four.sin_port));
}

}  // namespace

Udp::Udp(net::Loop& loop, const std::string& address, std::size_t most, Came came)
    : most_(most), came_(std::move(came)), buffer_(most + 1, '\0') {
  const net::SocketAddress at(address);
  fd_ = socket(at.address()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ >= 0)
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffered, sizeof buffered);
  if (fd_ < 0 || bind(fd_, at.address(), static_cast<socklen_t>(at.length())) != 0) {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0)
      close(fd_);
    throw std::runtime_error("peers: can't listen on " + address + ": " + why);
  }
  event_.reset(event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Udp*>(self)->readable(); }, this));
  resume();
}

Udp::~Udp() {
  event_.reset();
  close(fd_);
}

std::string Udp::address() const {
  sockaddr_storage at{};
  socklen_t length = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length);
  return text_of(at);
}

void Udp::resume() {
  event_add(event_.get(), nullptr);
}

void Udp::readable() {
  for (int i = 0; i < at_once; ++i) {
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const auto got =
        recvfrom(fd_, buffer_.data(), buffer_.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0)
      return;  // nothing more, or an error that the kernel tells of an earlier send
    if (came_(text_of(from), {buffer_.data(), static_cast<std::size_t>(got)}))
      continue;
    event_del(event_.get());
    return;
  }
}

bool Udp::send(const std::string& to, std::string_view bytes) {
  try {
    const net::SocketAddress at(to);
    return sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, at.address(),
                  static_cast<socklen_t>(at.length())) >= 0;
  } catch (const std::invalid_argument&) {
    return false;  // what others say is their address need not be one
  }
}

}  // namespace lemonroute::peers
