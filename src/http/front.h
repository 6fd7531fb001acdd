// The platform's front: HTTP/1.1 requests in, answers out. A thin layer over the core.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/router.h"
#include "net/admission.h"
#include "net/connection.h"

namespace lemonroute::http {

class ClientConnection;

class Front {
 public:
  struct Options {
    std::vector<std::string> listen;
    std::size_t most_connections = 400;
    Micros idle{std::chrono::seconds(75)};     // between requests
    Micros asking{std::chrono::seconds(2)};    // for a request to come whole, the first from connecting on
    Micros sending{std::chrono::seconds(10)};  // for an answer to be taken
    std::optional<int>
        inherited{};  // a socket that listens on the first of them already; the others are shared then
  };
  Front(net::Loop& loop, Router& router, Options options);
  ~Front();

  std::uint16_t port() const { return listeners_.front()->port(); }
  void limit(std::size_t connections) { admission_.limit(connections); }
  void drain();      // from now on connections end after their answer
  void hand_over();  // another process takes the connections that come; those at rest are closed
  void adopt(const TransferredStream& stream);  // takes its descriptors
  void stop_accepting();                        // and connections between requests are closed
  bool idle() const { return connections_.empty(); }

 private:
  friend class ClientConnection;
  void accept(evutil_socket_t fd);
  void pause(bool on);
  void discard(ClientConnection& connection);
  void close_if(bool (ClientConnection::*holds)());

  net::Loop& loop_;
  Router& router_;
  Options options_;
  bool draining_ = false;
  net::Admission admission_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  net::Reserve::Handle short_;
};

}  // namespace lemonroute::http
