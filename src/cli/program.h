// The router put together: core, fronts, node client, discovery and what operators touch, on the loop given.
#pragma once

#include <functional>
#include <memory>

#include "config/operator.h"
#include "config/platform.h"
#include "net/loop.h"

namespace lemonroute::cli {

// Reads the configuration anew, at SIGHUP; throws config::ConfigError if it is not in order.
using Reload = std::function<config::Platform()>;

// SIGTERM and SIGINT drain it, SIGHUP makes it read its configuration again.
class Program {
 public:
  // Throws if it can't start: an address is taken, a socket can't be had.
  Program(net::Loop& loop, const config::Platform& platform, const config::Operator& settings, Reload reload);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  // Once it has drained it stops the loop.
  void drain();                     // as SIGTERM does
  std::uint16_t port() const;       // of the first HTTP address
  std::uint16_t grpc_port() const;  // 0: gRPC is off

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lemonroute::cli
