#include "peers/udp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace lemonroute::peers {
namespace {

constexpr int max_reads_per_event = 64;        // so that the loop's timers run in between
constexpr int receive_buffer_bytes = 1 << 20;  // of the kernel, which may allow less

std::string address_text(const sockaddr_storage& from) {
  char host[INET6_ADDRSTRLEN] = "";
  if (from.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(from);
    inet_ntop(AF_INET6, &v6.sin6_addr, host, sizeof host);
    return '[' + std::string(host) + "]:" + std::to_string(ntohs(v6.sin6_port));
  }
  const auto& v4 = reinterpret_cast<const sockaddr_in&>(from);
  inet_ntop(AF_INET, &v4.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(v4.sin_port));
}

}  // namespace

UdpSocket::UdpSocket(net::Loop& loop, const std::string& address, std::size_t max_bytes,
                     OnDatagram on_datagram)
    : max_bytes_(max_bytes), on_datagram_(std::move(on_datagram)), buffer_(max_bytes + 1, '\0') {
  const net::SocketAddress at(address);
  fd_ = socket(at.address()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ >= 0)
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  if (fd_ < 0 || bind(fd_, at.address(), static_cast<socklen_t>(at.length())) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd_ >= 0)
      close(fd_);
    throw std::runtime_error("peers: can't listen on " + address + ": " + reason);
  }
  event_.reset(event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<UdpSocket*>(self)->on_readable(); }, this));
  resume();
}

UdpSocket::~UdpSocket() {
  event_.reset();
  close(fd_);
}

std::string UdpSocket::address() const {
  sockaddr_storage at{};
  socklen_t length = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length);
  return address_text(at);
}

void UdpSocket::resume() {
  event_add(event_.get(), nullptr);
}

void UdpSocket::on_readable() {
  for (int i = 0; i < max_reads_per_event; ++i) {
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const auto received =
        recvfrom(fd_, buffer_.data(), buffer_.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
    if (received < 0)
      return;  // no datagram is left, or the kernel reports the error of an earlier send
    if (on_datagram_(address_text(from), {buffer_.data(), static_cast<std::size_t>(received)}))
      continue;
    event_del(event_.get());
    return;
  }
}

bool UdpSocket::send(const std::string& to, std::string_view bytes) {
  try {
    const net::SocketAddress at(to);
    return sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, at.address(),
                  static_cast<socklen_t>(at.length())) >= 0;
  } catch (const std::invalid_argument&) {
    return false;  // addresses that other routers claim need not be valid
  }
}

}  // namespace lemonroute::peers
