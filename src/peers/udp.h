// One UDP socket on the loop. Thin: what comes is handed on with its sender's address, and nothing is decided
// here.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::peers {

class Udp {
 public:
  // Called for each datagram; false: leave the rest with the kernel until resume(). A datagram longer than
  // `most` comes as most + 1 bytes.
  using Came = std::function<bool(const std::string& from, std::string_view bytes)>;
  Udp(net::Loop& loop, const std::string& address, std::size_t most, Came came);  // throws if it is taken
  ~Udp();
  Udp(const Udp&) = delete;
  Udp& operator=(const Udp&) = delete;

  std::string address() const;                               // where it listens, with the port it got
  bool send(const std::string& to, std::string_view bytes);  // false: the kernel has not taken it
  void resume();

 private:
  void readable();
  std::size_t most_;
  Came came_;
  int fd_;
  std::string buffer_;
  net::EventPtr event_;
};

}  // namespace lemonroute::peers
