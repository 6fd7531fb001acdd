#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr Micros tell_every = std::chrono::seconds(1);  // the observer hears of demand

}  // namespace

void Router::set_fleet_view(std::shared_ptr<const FleetView> guide) {
  const auto before = effective_settings().router_count;
  fleet_view_ = std::move(guide);
  if (const auto live = effective_settings(); live.router_count != before) {
    logging::info() << "routers that share the nodes: " << live.router_count;
    scheduler_.update_settings(live);
  }
  std::vector<EndpointId> lost;
  for (auto& [id, node] : known_nodes_)
    if (const Micros at = fleet_view_ ? fleet_view_->cache_lost_at(node) : Micros(0);
        at > node.cache_lost_at) {
      node.cache_lost_at = at;
      lost.push_back(id);
    }
  reapply_overlays();
  for (const EndpointId id : lost)
    enqueue(CacheInvalidated{id});
}

void Router::set_node_observer(NodeObserver* observer) {
  observer_ = observer;
  if (!observer_)
    return;
  report_endpoints();
  report_demand();
}

Settings Router::effective_settings() const {
  Settings live = settings_;
  if (const auto siblings = fleet_view_ ? fleet_view_->router_count() : 0)
    live.router_count = siblings;
  return live;
}

// Nodes of the prompt's text that this router's peers know of, by the names that all routers share.
std::vector<CacheHint> Router::cache_hints(Key session, Key shared) const {
  std::vector<CacheHint> hints;
  if (!fleet_view_)
    return hints;
  for (const auto& kept : fleet_view_->cache_locations(session, shared))
    if (const auto id = endpoint_ids_.find(kept.node); id != endpoint_ids_.end())
      hints.push_back({id->second, kept.tokens, std::clamp(kept.confidence, 0.0, 1.0)});
  return hints;
}

void Router::report_endpoints() {
  if (!observer_)
    return;
  std::vector<Node> nodes;
  for (const auto& [id, node] : known_nodes_)
    nodes.push_back(node);
  observer_->on_endpoints(nodes, clock_.now());
}

void Router::report_demand() {
  if (!observer_)
    return;
  const Micros now = clock_.now();
  double memory = 0, own = 0;
  std::uint32_t writers = 0;
  for (const auto& [id, node] : known_nodes_) {
    if (!node.ready() || role_of(id) == Role::prefill)
      continue;
    ++writers;
    const auto kind = node.endpoint.kind;
    memory += kind < settings_.kind_memory.size() ? settings_.kind_memory[kind] : 0;
  }
  for (const auto& [id, entry] : requests_)
    if (entry->attempt && entry->attempt->role != Role::prefill)
      own += entry->prompt_tokens;
  observer_->on_demand(demand_.take_summary(own, memory, writers, now), now);
  timers_.add(now + tell_every, [this] { report_demand(); });
}

}  // namespace lemonroute
