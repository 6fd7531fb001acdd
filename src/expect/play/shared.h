// What the parts of a played case share: its clock and timers, the monitor of the rules, nodes and requests.
#pragma once

#include "core/timers.h"
#include "expect/play/clock.h"
#include "expect/play/node_list.h"
#include "expect/play/node_state.h"
#include "expect/play/request.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

struct Shared {
  explicit Shared(const rules::Limits& limits) : monitor(limits) {}

  StoppedClock clock;
  Timers timers;  // of what the case scripts; the router has its own
  rules::Monitor monitor;
  NodeStates nodes;
  PlayedRequests requests;

  // Prefill state that a node held for a request is gone there.
  void freed(NodeState& node, const std::string& request) {
    monitor.freed(clock.at, request, node.script->name);
    requests.freed(request, clock.at);
  }
};

}  // namespace lemonroute::expect
