#include "expect/play/node_list.h"

namespace lemonroute::expect {
namespace {

Micros on_router_clock(const NodeState& node) {
  return node.started ? case_zero + *node.started : Micros(0);
}

}  // namespace

Router::ListedNode NodeList::entry(const std::string& name, EndpointState phase) const {
  const NodeState& node = nodes_.at(name);
  const ScriptedNode& script = *node.script;
  return {name,        "127.0.0.1:1", script.zone,   script.kind,
          script.cell, phase,         script.weight, on_router_clock(node)};
}

void NodeList::tell_monitor(const std::string& name) {
  const NodeState& node = nodes_.at(name);
  monitor_.listed(clock_.at, name, node.phase, on_router_clock(node), node.script->capacity);
}

void NodeList::publish_all(const std::vector<ScriptedNode>& scripts) {
  std::vector<Router::ListedNode> all;
  for (const auto& script : scripts) {
    if (script.started && case_zero + *script.started > clock_.at)
      continue;  // it does not run yet
    NodeState& node = nodes_.at(script.name);
    node.phase = script.phase;
    node.started = script.started;
    node.listed = true;
    tell_monitor(script.name);
    all.push_back(entry(script.name, script.phase));
  }
  router_.update_endpoints(EndpointListKind::full, ++version_, all);
}

void NodeList::appear(const ScriptedNode& script) {
  NodeState& node = nodes_.at(script.name);
  node.phase = script.phase;
  node.started = script.started;
  node.listed = true;
  publish_change(script.name);
}

void NodeList::publish_change(const std::string& name) {
  tell_monitor(name);
  router_.update_endpoints(EndpointListKind::incremental, ++version_, {entry(name, nodes_.at(name).phase)});
}

void NodeList::show_only(const std::string& name, Role stage) {
  if (name.empty())
    return show_all();
  std::vector<Router::ListedNode> changes;
  for (const auto& [other, node] : nodes_) {
    const bool of_stage = node.script->role == stage || node.script->role == Role::mixed;
    if (other == name || !node.listed || node.phase != EndpointState::ready || !of_stage)
      continue;
    hidden_.push_back(other);
    changes.push_back(entry(other, EndpointState::draining));
  }
  if (!changes.empty())
    router_.update_endpoints(EndpointListKind::incremental, ++version_, changes);
}

void NodeList::show_all() {
  if (hidden_.empty())
    return;
  std::vector<Router::ListedNode> changes;
  for (const auto& name : hidden_)
    changes.push_back(entry(name, nodes_.at(name).phase));
  hidden_.clear();
  router_.update_endpoints(EndpointListKind::incremental, ++version_, changes);
}

}  // namespace lemonroute::expect
