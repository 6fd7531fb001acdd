// Nodes that speak gRPC (service Node), one connection for each.
#pragma once

#include <map>

#include "core/types.h"
#include "grpc/session.h"

namespace lemonroute::grpc {

class NodeClient : public Nodes, SessionOwner {
 public:
  NodeClient(net::Loop& loop, Session::Limits limits) : loop_(loop), limits_(limits) {}
  std::unique_ptr<Call> begin(const Node& node, const Prompt& prompt, Micros within,
                              Attempt& attempt) override;
  std::unique_ptr<Call> release(const Node& node, const std::string& id,
                                std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node& node, std::function<void(const Result&)> done) override;
  void hang_up(const Node& node) override;
  void limit(const Limits& limits) override { limits_.connect_timeout = limits.connect_timeout; }

 private:
  void closed(Session& session) override;
  Session& session(const std::string& address);

  net::Loop& loop_;
  Session::Limits limits_;
  std::map<std::string, Session*> current_;
  std::map<Session*, std::unique_ptr<Session>> all_;
};

}  // namespace lemonroute::grpc
