// The list of nodes as discovery tells it, and when to ask for it again.
#pragma once

#include "state.h"

namespace lemonroute::decisions {

inline void on(State& s, const HostList& list) {
  const bool asks = s.settings.discovery_on_request;
  if (list.kind == ListKind::failed && asks)  // ask again, later each time: discovery may be overloaded
    s.act(Sleep{0, micros(us(s.settings.tick) + us(seconds(1)) * (1 << std::min(s.ask_failures++, 3)))});
  if (list.kind == ListKind::failed) return;
  if (list.kind == ListKind::cached && asks) s.act(Subscribe{true});
  if (list.kind != ListKind::cached) s.ask_failures = 0;
  if (list.kind != ListKind::delta)
    for (auto& [id, node] : s.nodes) node.entry.phase = Phase::gone;
  for (const auto& entry : list.hosts) {
    Node& node = s.nodes[entry.host];
    if (node.entry.host != entry.host || node.entry.started != entry.started) {
      // A new process: nothing learned of the old one holds, least of all its prefix cache.
      node = Node{.out = std::move(node.out)};
      node.void_before = s.now;
    }
    node.entry = entry;
    s.describe(node);
  }
  // Danger: a module that outlives its nodes many times over and looks at all of them for each request.
  const auto gone = [](const Node& node) { return node.entry.phase == Phase::gone && node.out.empty(); };
  std::erase_if(s.nodes, [&](const auto& one) { return gone(one.second); });
}

}  // namespace lemonroute::decisions
