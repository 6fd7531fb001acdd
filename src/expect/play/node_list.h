// The list of nodes as the router is told of it while a case is played.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/router.h"
#include "expect/play/clock.h"
#include "expect/play/node_state.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

using NodeStates = std::map<std::string, NodeState>;  // by the node's name

class NodeList {
 public:
  // `router` is used by the calls below only, so it may be constructed after this.
  NodeList(NodeStates& nodes, const StoppedClock& clock, rules::Monitor& monitor, Router& router)
      : nodes_(nodes), clock_(clock), monitor_(monitor), router_(router) {}

  // The first, full list: nodes that have started by now, in the order of the case.
  void publish_all(const std::vector<ScriptedNode>& scripts);
  // A node that starts within the case.
  void appear(const ScriptedNode& script);
  // A node's phase or start has changed.
  void publish_change(const std::string& name);
  // For one moment, of a stage's nodes only this one is ready, until show_all(). An empty name hides nothing.
  void show_only(const std::string& name, Role stage);
  void show_all();

 private:
  Router::ListedNode entry(const std::string& name, EndpointState phase) const;
  void tell_monitor(const std::string& name);

  NodeStates& nodes_;
  const StoppedClock& clock_;
  rules::Monitor& monitor_;
  Router& router_;
  std::uint32_t version_ = 0;
  std::vector<std::string> hidden_;
};

}  // namespace lemonroute::expect
