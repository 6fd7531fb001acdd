#include "relay/datagrams.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace lemonroute::rig {
namespace {

using Steady = std::chrono::steady_clock;

constexpr std::size_t most_bytes = 65536;
constexpr int most_a_round = 64;  // datagrams, so that one busy link does not starve the others

std::string text_of(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

Socket::Socket(const std::string& host) : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const net::SocketAddress at(host + ":0");
  if (fd_ < 0 || bind(fd_, at.address(), static_cast<socklen_t>(at.length())) != 0) {
    const int why = errno;
    if (fd_ >= 0)
      close(fd_);
    throw std::system_error(why, std::generic_category(), "a datagram socket on " + host);
  }
}
Socket::~Socket() {
  close(fd_);
}

std::string Socket::address() const {
  sockaddr_in at{};
  socklen_t length = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length);
  return text_of(at);
}

void Socket::send(const net::SocketAddress& to, std::string_view bytes) const {
  (void)sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, to.address(),
               static_cast<socklen_t>(to.length()));
}

DatagramRelay::DatagramRelay(net::Loop& loop, const std::string& host, Links& links, Counts& counts,
                             std::string from, std::string from_address, std::string to,
                             std::string to_address)
    : links_(links),
      counts_(counts),
      from_(std::move(from)),
      to_(std::move(to)),
      to_address_(std::move(to_address)),
      from_at_(from_address),
      to_at_(to_address_),
      socket_(host),
      due_(loop, [this] { send_due(); }),
      event_(event_new(
          loop.base(), socket_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<DatagramRelay*>(self)->readable(); }, this)) {
  event_add(event_.get(), nullptr);
}

void DatagramRelay::readable() {
  static thread_local std::string buffer(most_bytes, '\0');
  for (int i = 0; i < most_a_round; ++i) {
    sockaddr_in sender{};
    socklen_t length = sizeof sender;
    const auto got = recvfrom(socket_.fd(), buffer.data(), buffer.size(), 0,
                              reinterpret_cast<sockaddr*>(&sender), &length);
    if (got < 0)
      break;
    const bool forth = text_of(sender) != to_address_;
    auto copies = (forth ? links_.between(from_, to_) : links_.between(to_, from_))
                      .pass(buffer.substr(0, static_cast<std::size_t>(got)));
    ++(copies.empty() ? counts_.lost : counts_.passed);
    for (auto& copy : copies) {
      counts_.bytes += copy.bytes.size();
      if (copy.after <= Micros(0))
        socket_.send(forth ? to_at_ : from_at_, copy.bytes);
      else if (waiting_.size() < most_waiting)
        waiting_.emplace(Steady::now() + copy.after, Waiting{forth, std::move(copy.bytes)});
      else
        ++counts_.lost;
    }
  }
  send_due();
}

void DatagramRelay::send_due() {
  const auto now = Steady::now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const auto& [forth, bytes] = waiting_.begin()->second;
    socket_.send(forth ? to_at_ : from_at_, bytes);
    waiting_.erase(waiting_.begin());
  }
  if (!waiting_.empty())
    due_.start(std::chrono::duration_cast<Micros>(waiting_.begin()->first - now) + Micros(1));
}

}  // namespace lemonroute::rig
