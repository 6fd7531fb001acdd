/// \file
/// What the routers of a fleet know together: the FleetView that the core reads, and the NodeObserver to
/// which the core reports. Times are on the core's clock.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "core/types.h"

namespace lemonroute {

/// Where other routers have seen part of a prompt's KV cache. A hint only: it may be out of date or wrong.
struct CacheLocation {
  std::string node;       ///< the node's name
  double tokens = 0;      ///< tokens of the prompt that are cached there, from the prompt's beginning
  double confidence = 0;  ///< 0 to 1
};

/// What other routers have told. A FleetView is made on the peers' thread, never changes afterwards, and is
/// read on the serving thread; a newer one replaces it. Its functions neither block nor throw.
class FleetView {
 public:
  virtual ~FleetView() = default;

  /// Returns the number of routers that share the nodes, this one included; 0: the settings' number holds.
  virtual std::uint32_t router_count() const { return 0; }

  /// What holds for a node in addition to its entry in the endpoint list. A node of a pool that belongs to
  /// other routers is drained; a node of a pool that was taken over counts as just started.
  struct NodeOverlay {
    bool drained = false;  ///< the node gets no new attempts
    Micros started_at{};   ///< start of the node if later than the listed one; 0: as listed
    Micros expires_at =
        Micros::max();  ///< the node is drained from then on, until a newer view replaces this
  };
  /// Returns the overlay of the node.
  virtual NodeOverlay overlay(const Node& /*node*/) const { return {}; }

  /// Returns a few places where parts of the prompt are cached, the best first.
  virtual std::vector<CacheLocation> cache_locations(Key /*session_key*/, Key /*shared_prefix_key*/) const {
    return {};
  }

  /// Returns when the node last lost its KV cache, as far as other routers have told; 0: never. Each further
  /// loss has a later time.
  virtual Micros cache_lost_at(const Node& /*node*/) const { return {}; }
};

/// Hears of what this router sees of nodes. The core calls it on the serving thread; no function may block or
/// throw.
class NodeObserver {
 public:
  virtual ~NodeObserver() = default;
  /// A prefill at the node has succeeded, so the node holds the prompt's KV cache now.
  /// \param node the node of the prefill.
  /// \param session_key key of the prompt's session; 0: none.
  /// \param shared_prefix_key key of the prefix that the prompt shares with others; 0: none.
  /// \param tokens length of the prompt.
  /// \param shared_tokens length of the shared prefix.
  /// \param now the present time.
  virtual void on_prefix_cached(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                                double shared_tokens, Micros now) = 0;
  /// The node has reported how many tokens of the prompt it found in its cache at a prefill. That shows
  /// whether cache locations were right. It comes before on_prefix_cached for the same prefill.
  virtual void on_cache_hit(const Node& /*node*/, Key /*session_key*/, Key /*shared_prefix_key*/,
                            double /*tokens*/, Micros /*now*/) {}
  /// The node has lost its KV cache without reporting it.
  virtual void on_cache_lost(const Node& node, Micros now) = 0;
  /// The endpoint list or the settings have changed. `nodes` are all nodes that are listed.
  virtual void on_endpoints(const std::vector<Node>& nodes, Micros now) = 0;
  /// What this router's clients have asked of the decode nodes since the last report.
  struct Demand {
    /// Share of the decode nodes' KV cache memory that this router's own streams hold, 0 to 1.
    double own_load = 0;
    /// Share of their memory in use, as the decode nodes report it: the mean over the nodes, 0 to 1.
    double reported_load = 0;
    std::uint64_t accepted_requests = 0;  ///< since the last report
    std::uint64_t rejected_requests = 0;  ///< since the last report
    std::uint32_t decode_nodes = 0;       ///< decode nodes that are ready
  };
  /// Comes about once a second.
  virtual void on_demand(const Demand& demand, Micros now) = 0;
};

}  // namespace lemonroute
