// Carries datagrams between two routers, as the links between them let it. A router is told this relay's
// address in place of the other one's. What the other one sends to that address goes back the way it came.
#pragma once

#include <event2/event.h>

#include <map>
#include <string>

#include "faults/links.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::rig {

// A datagram socket on loopback that nobody else has. Throws if there is none to be had.
class Socket {
 public:
  explicit Socket(const std::string& host);  // any free port of it
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const { return fd_; }
  std::string address() const;
  void send(const net::SocketAddress& to,
            std::string_view bytes) const;  // what the kernel does not take is lost

 private:
  int fd_;
};

struct Counts {
  std::uint64_t passed = 0, lost = 0, bytes = 0;
};

class DatagramRelay {
 public:
  // `from` knows `to` by address(). `to_address` is where `to` really is, and `from_address` where `from` is.
  DatagramRelay(net::Loop& loop, const std::string& host, Links& links, Counts& counts, std::string from,
                std::string from_address, std::string to, std::string to_address);
  std::string address() const { return socket_.address(); }

 private:
  void readable();
  void send_due();
  struct Waiting {
    bool forth = true;
    std::string bytes;
  };
  static constexpr std::size_t most_waiting = 4096;  // a slow link holds no more; the rest is lost

  Links& links_;
  Counts& counts_;
  std::string from_, to_, to_address_;
  net::SocketAddress from_at_, to_at_;
  Socket socket_;
  std::multimap<std::chrono::steady_clock::time_point, Waiting> waiting_;
  net::Timer due_;
  net::EventPtr event_;
};

}  // namespace lemonroute::rig
