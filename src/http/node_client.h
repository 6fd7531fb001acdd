// Nodes over HTTP/1.1, as the platform speaks it.
#pragma once

#include "core/types.h"
#include "http/client.h"

namespace lemonroute::http {

class NodeClient : public Nodes {
 public:
  NodeClient(net::Loop& loop, ClientLimits limits) : client_(loop, for_nodes(limits)) {}
  std::unique_ptr<Call> begin(const Node& node, const Prompt& prompt, Micros within,
                              Attempt& attempt) override;
  std::unique_ptr<Call> release(const Node& node, const std::string& id,
                                std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node& node, std::function<void(const Result&)> done) override;
  std::unique_ptr<Call> adopt(const Node& node, const PassedConnection& connection,
                              Attempt& attempt) override;
  void hang_up(const Node& node) override { client_.hang_up(node.address); }
  void limit(const Limits& limits) override {
    client_.limit(limits.connect_timeout, limits.idle, limits.idle_most);
  }

 private:
  static ClientLimits for_nodes(ClientLimits limits) {
    limits.purpose = net::Purpose::nodes;
    return limits;
  }
  Client client_;
};

}  // namespace lemonroute::http
