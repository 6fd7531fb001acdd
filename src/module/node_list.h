// The list of nodes as discovery tells it, and when to ask for it again.
#pragma once

#include "state.h"

namespace lemonroute::decisions {

inline void handle(SchedulerState& s, const EndpointListUpdate& list) {
  const bool asks = s.settings.discovery_on_request;
  if (list.kind == EndpointListKind::fetch_failed && asks)  // ask again, later each time: discovery may be overloaded
    s.emit(StartTimer{0, from_microseconds(to_microseconds(s.settings.min_batch_interval) + to_microseconds(seconds(1)) * (1 << std::min(s.list_fetch_failures++, 3)))});
  if (list.kind == EndpointListKind::fetch_failed) return;
  if (list.kind == EndpointListKind::from_cache && asks) s.emit(Subscribe{true});
  if (list.kind != EndpointListKind::from_cache) s.list_fetch_failures = 0;
  if (list.kind != EndpointListKind::incremental)
    for (auto& [id, node] : s.nodes) node.endpoint.state = EndpointState::removed;
  for (const auto& entry : list.endpoints) {
    NodeState& node = s.nodes[entry.id];
    if (node.endpoint.id != entry.id || node.endpoint.started_at != entry.started_at) {
      // A new process: nothing learned of the old one holds, least of all its prefix cache.
      node = NodeState{.outstanding = std::move(node.outstanding)};
      node.cache_valid_since = s.now;
    }
    node.endpoint = entry;
    s.apply_kind(node);
  }
  // Danger: a module that outlives its nodes many times over and looks at all of them for each request.
  const auto gone = [](const NodeState& node) { return node.endpoint.state == EndpointState::removed && node.outstanding.empty(); };
  std::erase_if(s.nodes, [&](const auto& one) { return gone(one.second); });
}

}  // namespace lemonroute::decisions
