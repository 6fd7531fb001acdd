// A UDP socket on the event loop. It passes on each datagram with its sender's address and decides nothing.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::peers {

/// A bound, non-blocking UDP socket.
class UdpSocket {
 public:
  /// Called for each datagram. False: stop reading until resume(), and leave further datagrams in the
  /// kernel's buffer.
  using OnDatagram = std::function<bool(const std::string& from, std::string_view bytes)>;
  /// Binds to `address`; throws std::runtime_error if that fails. A datagram longer than `max_bytes` is
  /// passed on truncated to max_bytes + 1.
  UdpSocket(net::Loop& loop, const std::string& address, std::size_t max_bytes, OnDatagram on_datagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// The bound address, with the port that the kernel chose if the given one was 0.
  std::string address() const;
  /// Sends a datagram. False: the address is invalid or the kernel did not accept the datagram.
  bool send(const std::string& to, std::string_view bytes);
  /// Resumes reading.
  void resume();

 private:
  void on_readable();
  std::size_t max_bytes_;
  OnDatagram on_datagram_;
  int fd_;
  std::string buffer_;
  net::EventPtr event_;
};

}  // namespace lemonroute::peers
