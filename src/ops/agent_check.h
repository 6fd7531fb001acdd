// HAProxy's agent-check: whoever connects gets one line, then the connection ends.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/connection.h"
#include "ops/status.h"

namespace lemonroute::ops {

std::string agent_line(State state);

class AgentCheck {
 public:
  // `shared`: another process may listen there as well.
  AgentCheck(net::Loop& loop, const std::string& listen, const Status& status, bool shared = false);
  ~AgentCheck();
  std::uint16_t port() const { return listener_.port(); }

 private:
  class Visitor;
  net::Loop& loop_;
  const Status& status_;
  std::map<Visitor*, std::unique_ptr<Visitor>> visitors_;
  net::Listener listener_;
};

}  // namespace lemonroute::ops
