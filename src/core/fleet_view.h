// What routers know together, as one of them uses it while it serves, and what it tells the others of what it
// sees. Both are met on the serving loop only: a guide never changes once it is made, and a observer neither
// waits nor fails.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "core/types.h"

namespace lemonroute {

// What others say is kept of a prompt. A hint: the module never depends on its being true.
struct CacheLocation {
  std::string node;
  double tokens = 0;      // of the prompt, from its beginning
  double confidence = 0;  // 0 to 1
};

class FleetView {
 public:
  virtual ~FleetView() = default;

  // Routers that share the nodes, this one among them; 0: as the settings say.
  virtual std::uint32_t router_count() const { return 0; }

  // Laid over what is listed of a node, as bans are: a node of a pool that is not ours drains, one of a pool
  // that was taken over has just started. It holds until `until` at the most: with no newer guide by then,
  // the node drains.
  struct NodeOverlay {
    bool drained = false;
    Micros started_at{};                // 0: as listed
    Micros expires_at = Micros::max();  // on the core's clock
  };
  virtual NodeOverlay overlay(const Node&) const { return {}; }

  virtual std::vector<CacheLocation> cache_locations(Key /*session*/, Key /*shared*/) const {
    return {};
  }  // a few, the best first

  // The last loss of kept text that was told of a node, on the core's clock; 0: none. Grows with each.
  virtual Micros cache_lost_at(const Node&) const { return {}; }
};

// Hears on the serving loop what this router sees of nodes.
class NodeObserver {
 public:
  virtual ~NodeObserver() = default;
  // A read has ended well at that node: so much of the prompt is kept there now.
  virtual void on_prefix_cached(const Node& node, Key session, Key shared, double tokens,
                                double shared_tokens, Micros now) = 0;
  // A node's own count of what it found kept of a prompt when it read it: it proves hints right or wrong.
  virtual void on_cache_hit(const Node& /*node*/, Key /*session*/, Key /*shared*/, double /*tokens*/,
                            Micros /*now*/) {}
  virtual void on_cache_lost(const Node& node, Micros now) = 0;  // its kept texts are gone, it did not say so
  virtual void on_endpoints(const std::vector<Node>& nodes,
                            Micros now) = 0;  // all that are known, after each change
  // What this router's writers did since the last call: the share of their memory that its own streams hold
  // and that was reported in all (0 to 1, weighed by writers), requests taken, and those refused for want of
  // writers.
  struct Demand {
    double own_load = 0, reported_load = 0;
    std::uint64_t accepted_requests = 0, rejected_requests = 0;
    std::uint32_t decode_nodes = 0;
  };
  virtual void on_demand(const Demand& demand, Micros now) = 0;
};

}  // namespace lemonroute
