/// \file
/// Passes node events from the serving thread to the peers' thread through a bounded ring.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/fleet_view.h"

namespace lemonroute::guide {

/// One call of a NodeObserver function, with its arguments.
struct NodeEvent {
  /// The functions of NodeObserver.
  enum Kind : std::uint8_t {
    prefix_cached,
    cache_hit,
    cache_lost,
    endpoints,
    demand
  } kind = prefix_cached;                          ///< the function that was called
  EndpointId node_id = 0;                          ///< of prefix_cached, cache_hit and cache_lost
  Key session_key = 0,                             ///< of prefix_cached and cache_hit
      shared_prefix_key = 0;                       ///< of prefix_cached and cache_hit
  double tokens = 0,                               ///< of prefix_cached and cache_hit
      shared_tokens = 0;                           ///< of prefix_cached
  Micros now{};                                    ///< time of the call
  std::shared_ptr<const std::vector<Node>> nodes;  ///< of endpoints
  NodeObserver::Demand demand_report;              ///< of demand
};

/// A NodeObserver that queues its calls on the serving thread, for one consumer on the peers' thread.
///
/// Events are delivered in their order. While the ring is full, prefix_cached, cache_hit and demand events
/// are dropped and counted; endpoint lists and cache losses wait outside of the ring.
class NodeEventQueue final : public NodeObserver {
 public:
  static constexpr std::size_t capacity = 4096,  ///< events in the ring
      max_pending = 1024;  ///< endpoint lists and cache losses that may wait for the ring; further ones are
                           ///< dropped and counted

  /// \param wake called on the serving thread after each endpoint list and each cache loss, which the peers'
  /// thread should handle at once. It must not block. Other events wait for the next poll.
  explicit NodeEventQueue(std::function<void()> wake) : wake_(std::move(wake)), ring_(capacity) {}

  // ---- on the serving thread ----
  /// Queues the event, or drops it while the ring is full.
  void on_prefix_cached(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                        double shared_tokens, Micros now) override;
  /// Queues the event, or drops it while the ring is full.
  void on_cache_hit(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                    Micros now) override;
  /// Queues the event and wakes the consumer.
  void on_cache_lost(const Node& node, Micros now) override;
  /// Queues a copy of the list and wakes the consumer.
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override;
  /// Queues the report, or drops it while the ring is full.
  void on_demand(const Demand& demand, Micros now) override;

  // ---- on the peers' thread ----
  /// Passes the queued events to each observer, at most `capacity` of them. Leaves out events of nodes that
  /// the latest delivered endpoint list doesn't have.
  void deliver(const std::vector<NodeObserver*>& observers);
  /// Returns the number of events dropped since construction.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool push_or_drop(const NodeEvent& event);
  bool flush_pending();
  void push_urgent(NodeEvent event);

  std::function<void()> wake_;
  boost::lockfree::spsc_queue<NodeEvent> ring_;
  // Endpoint lists and cache losses that found the ring full; in order, they enter it before newer events.
  std::deque<NodeEvent> pending_;
  std::atomic<std::uint64_t> dropped_{0};
  // Used by the consumer only: the latest delivered endpoint list.
  std::shared_ptr<const std::vector<Node>> nodes_;
  std::unordered_map<EndpointId, const Node*> nodes_by_id_;
};

}  // namespace lemonroute::guide
