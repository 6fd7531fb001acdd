// Nodes over HTTP/1.1, as the platform speaks it.
#pragma once

#include "core/types.h"
#include "http/client.h"

namespace lemonroute::http {

class NodeClient : public NodeTransport {
 public:
  NodeClient(net::Loop& loop, ClientLimits limits) : client_(loop, for_nodes(limits)) {}
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                      AttemptHandler& attempt) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node& node, std::function<void(const AttemptResult&)> done) override;
  std::unique_ptr<Call> adopt_stream(const Node& node, const TransferredConnection& connection,
                                     AttemptHandler& attempt) override;
  void close_idle_connections(const Node& node) override { client_.hang_up(node.address); }
  void set_limits(const Limits& limits) override {
    client_.limit(limits.connect_timeout, limits.idle_timeout, limits.max_idle_connections);
  }

 private:
  static ClientLimits for_nodes(ClientLimits limits) {
    limits.purpose = net::Purpose::nodes;
    return limits;
  }
  Client client_;
};

}  // namespace lemonroute::http
