#include "guide/node_event_queue.h"

#include <algorithm>

namespace lemonroute::guide {

// Returns whether no event is pending any more.
bool NodeEventQueue::flush_pending() {
  while (!pending_.empty() && ring_.push(pending_.front()))
    pending_.pop_front();
  return pending_.empty();
}

bool NodeEventQueue::push_or_drop(const NodeEvent& event) {
  if (flush_pending() && ring_.push(event))
    return true;
  dropped_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

// A full ring must not drop an endpoint list or a cache loss: events of a node that the consumer doesn't know
// are useless, and after a missed loss the extensions would still count on a KV cache that is gone.
void NodeEventQueue::push_urgent(NodeEvent event) {
  if (!flush_pending() || !ring_.push(event)) {
    // A newer endpoint list replaces pending older ones.
    if (event.kind == NodeEvent::endpoints)
      std::erase_if(pending_, [](const NodeEvent& other) { return other.kind == NodeEvent::endpoints; });
    if (pending_.size() < max_pending)
      pending_.push_back(std::move(event));
    else
      dropped_.fetch_add(1, std::memory_order_relaxed);
  }
  wake_();
}

void NodeEventQueue::on_prefix_cached(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                                      double shared_tokens, Micros now) {
  push_or_drop({NodeEvent::prefix_cached,
                node.id,
                session_key,
                shared_prefix_key,
                tokens,
                shared_tokens,
                now,
                nullptr,
                {}});
}
void NodeEventQueue::on_cache_hit(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                                  Micros now) {
  push_or_drop({NodeEvent::cache_hit, node.id, session_key, shared_prefix_key, tokens, 0, now, nullptr, {}});
}
void NodeEventQueue::on_cache_lost(const Node& node, Micros now) {
  push_urgent({NodeEvent::cache_lost, node.id, 0, 0, 0, 0, now, nullptr, {}});
}
void NodeEventQueue::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  push_urgent(
      {NodeEvent::endpoints, 0, 0, 0, 0, 0, now, std::make_shared<const std::vector<Node>>(nodes), {}});
}
void NodeEventQueue::on_demand(const Demand& demand, Micros now) {
  push_or_drop({NodeEvent::demand, 0, 0, 0, 0, 0, now, nullptr, demand});
}

void NodeEventQueue::deliver(const std::vector<NodeObserver*>& observers) {
  NodeEvent event;
  // The limit ends the loop even if the producer is faster than the consumer.
  for (std::size_t i = 0; i < capacity && ring_.pop(event); ++i) {
    if (event.kind == NodeEvent::endpoints) {
      nodes_ = event.nodes;
      nodes_by_id_.clear();
      for (const auto& node : *nodes_)
        nodes_by_id_[node.id] = &node;
    }
    const auto found = nodes_by_id_.find(event.node_id);
    const Node* node = found == nodes_by_id_.end() ? nullptr : found->second;
    for (NodeObserver* observer : observers) {
      switch (event.kind) {
        case NodeEvent::prefix_cached:
          if (node)
            observer->on_prefix_cached(*node, event.session_key, event.shared_prefix_key, event.tokens,
                                       event.shared_tokens, event.now);
          break;
        case NodeEvent::cache_hit:
          if (node)
            observer->on_cache_hit(*node, event.session_key, event.shared_prefix_key, event.tokens,
                                   event.now);
          break;
        case NodeEvent::cache_lost:
          if (node)
            observer->on_cache_lost(*node, event.now);
          break;
        case NodeEvent::endpoints:
          observer->on_endpoints(*event.nodes, event.now);
          break;
        case NodeEvent::demand:
          observer->on_demand(event.demand_report, event.now);
          break;
      }
    }
  }
}

}  // namespace lemonroute::guide
