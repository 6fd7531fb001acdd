/// \file
/// The exchange of node information between the routers of a fleet: the core reads the FleetView and reports
/// its own observations to the NodeObserver. Times are on the core's clock.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "core/types.h"

namespace lemonroute {

/// A node where other routers have observed cached KV of part of a prompt. It may be outdated or wrong.
struct CacheLocation {
  std::string node;       ///< the node's name
  double tokens = 0;      ///< length of the cached prefix of the prompt
  double confidence = 0;  ///< how likely the location is right, 0 to 1
};

/// What other routers have reported. A FleetView is immutable: the peers' thread creates it, the serving
/// thread reads it, and a newer one replaces it. Its functions neither block nor throw.
class FleetView {
 public:
  virtual ~FleetView() = default;

  /// Returns the number of routers that share the nodes, including this one; 0: use the number in the
  /// settings.
  virtual std::uint32_t router_count() const { return 0; }

  /// Changes to a node's entry in the endpoint list. A node of a pool that belongs to other routers is
  /// drained; a node of a pool that this router has taken over counts as just started.
  struct NodeOverlay {
    bool drained = false;  ///< the node gets no new attempts
    Micros started_at{};   ///< start of the node's process if later than the listed one; 0: as listed
    Micros expires_at =
        Micros::max();  ///< the node counts as drained after this time, until a newer view replaces this one
  };
  /// Returns the overlay that applies to the node.
  virtual NodeOverlay overlay(const Node& /*node*/) const { return {}; }

  /// Returns a few nodes where parts of the prompt are cached, the best first. A key of 0 means none.
  virtual std::vector<CacheLocation> cache_locations(Key /*session_key*/, Key /*shared_prefix_key*/) const {
    return {};
  }

  /// Returns when the node last lost its KV cache according to other routers; 0: never. Each further loss has
  /// a later time.
  virtual Micros cache_lost_at(const Node& /*node*/) const { return {}; }
};

/// Receives this router's observations of nodes. The core calls it on the serving thread; no function may
/// block or throw.
class NodeObserver {
 public:
  virtual ~NodeObserver() = default;
  /// Called when a prefill at the node has succeeded, so that the node now holds the prompt's KV cache.
  /// \param node the node of the prefill.
  /// \param session_key key of the prompt's session; 0: none.
  /// \param shared_prefix_key key of the prefix that the prompt shares with others; 0: none.
  /// \param tokens length of the prompt, in tokens.
  /// \param shared_tokens length of the shared prefix, in tokens.
  /// \param now the present time.
  virtual void on_prefix_cached(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                                double shared_tokens, Micros now) = 0;
  /// Called when the node has reported how many tokens of the prompt it found in its cache at a prefill. The
  /// number shows whether cache locations were right. This call precedes on_prefix_cached of the same
  /// prefill.
  virtual void on_cache_hit(const Node& /*node*/, Key /*session_key*/, Key /*shared_prefix_key*/,
                            double /*tokens*/, Micros /*now*/) {}
  /// Called when the node has lost its KV cache without reporting the loss.
  virtual void on_cache_lost(const Node& node, Micros now) = 0;
  /// Called when the endpoint list or the settings have changed. `nodes` contains all listed nodes.
  virtual void on_endpoints(const std::vector<Node>& nodes, Micros now) = 0;
  /// The load that this router's clients have put on the decode nodes since the last report.
  struct Demand {
    /// Share of the decode nodes' KV cache memory that this router's own streams use, 0 to 1.
    double own_load = 0;
    /// Share of their KV cache memory that decode nodes report as used: the mean over the nodes, 0 to 1.
    double reported_load = 0;
    std::uint64_t accepted_requests = 0;  ///< requests accepted since the last report
    std::uint64_t rejected_requests = 0;  ///< requests rejected since the last report
    std::uint32_t decode_nodes = 0;       ///< number of ready decode nodes
  };
  /// Called about once per second.
  virtual void on_demand(const Demand& demand, Micros now) = 0;
};

}  // namespace lemonroute
