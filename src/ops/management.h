// The operators' door: HTTP/1.1 on an address of its own, one call a connection.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"
#include "net/connection.h"
#include "ops/status.h"

namespace lemonroute::ops {

// The configuration files taken and turned down at SIGHUP.
struct Reloads {
  std::uint64_t loaded = 0, invalid = 0;
};

class Management {
 public:
  // Answers to calls are made at the moment of the call; `reloads` tells what was counted of files, `fleet`
  // what is known of the other routers as JSON: null for the moment, none where peers are off.
  using Fleet = std::function<std::shared_ptr<const std::string>()>;
  Management(net::Loop& loop, const std::string& listen, Router& router, const Status& status,
             std::function<Reloads()> reloads, Fleet fleet = {});
  ~Management();
  std::uint16_t port() const { return listener_->port(); }

  static constexpr std::size_t most_callers = 16;

 private:
  class Caller;
  struct Answer {
    int status = 200;
    std::string body, fields;
  };
  Answer answer(const http::Head& head);
  Answer metrics() const;
  Answer fleet() const;
  void accept(evutil_socket_t fd);
  void leave(Caller& caller);

  net::Loop& loop_;
  Router& router_;
  const Status& status_;
  std::function<Reloads()> reloads_;
  Fleet fleet_;
  std::list<std::unique_ptr<Caller>> callers_;  // the longest there in front
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace lemonroute::ops
