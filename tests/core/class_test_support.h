// Shared by the unit tests of the classes behind Router: a manual clock, a transport that does nothing, and a
// registry of prefill nodes (names beginning with r) and decode nodes (names beginning with w).
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/router/node_registry.h"
#include "core/router/router_context.h"

namespace lemonroute::test {

using namespace std::chrono_literals;

struct ManualClock : Clock {
  Micros time = 1h;
  Micros now() const override { return time; }
};

struct NullTransport : NodeTransport {
  std::unique_ptr<Call> start_attempt(const Node&, const Prompt&, Micros, AttemptHandler&) override {
    return nullptr;
  }
  std::unique_ptr<Call> release_reservation(const Node&, const std::string&,
                                            std::function<void(bool)>) override {
    return nullptr;
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
};

inline ListedNode listed_node(const std::string& name, EndpointState state = EndpointState::ready) {
  ListedNode node;
  node.name = name;
  node.address = "127.0.0.1:1";
  node.zone = "a";
  node.kind = name.substr(0, 1);
  node.state = state;
  return node;
}

struct RouterClassFixture {
  RouterClassFixture() {
    logging::set_level(logging::Level::error);
    settings.role_by_kind = {Role::prefill, Role::decode};
    settings.reservation_release_timeout = 800ms;
  }
  EndpointListUpdate list_nodes(const std::vector<std::string>& names) {
    std::vector<ListedNode> entries;
    for (const std::string& name : names)
      entries.push_back(listed_node(name));
    return nodes.update(EndpointListKind::full, ++list_version, entries);
  }
  EndpointId id(const std::string& name) const { return nodes.id_of(name); }

  Settings settings;
  ManualClock clock;
  Timers timers;
  NullTransport transport;
  std::uint32_t list_version = 0;
  RouterContext context{settings, clock, timers, transport, [] {}};
  NodeRegistry nodes{settings, {"a"}, {"r", "w"}, clock};
};

}  // namespace lemonroute::test
