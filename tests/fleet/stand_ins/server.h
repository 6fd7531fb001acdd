// Whole HTTP/1.1 requests off a connection, one at a time: what stand-ins of devices and discovery rest on.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/connection.h"

namespace lemonroute::rig {

class Server : public net::Connection::Handler {
 public:
  Server(net::Loop& loop, evutil_socket_t fd);
  std::string method, target, id;
  virtual void whole() = 0;  // a request is there
  virtual void gone() = 0;   // the last call
  void answer(const std::string& status, const std::string& body, const std::string& fields = "");
  void reset();  // when it is closed, as the kernel does for a process that died

 private:
  void on_readable() override;
  void on_closed() override { gone(); }
  evutil_socket_t fd_;
  std::size_t scanned_ = 0;

 public:
  net::Connection connection;
};

template <class T>
void take_out(net::Loop& loop, std::vector<std::unique_ptr<T>>& from, T& one) {
  for (auto at = from.begin(); at != from.end(); ++at)
    if (at->get() == &one) {
      loop.dispose(std::move(*at));
      from.erase(at);
      return;
    }
}

}  // namespace lemonroute::rig
