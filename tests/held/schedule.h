// A random schedule of requests and network faults, as data, so that a test can print, replay and shrink it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::held_state {

enum class StepKind {
  request,        // a client sends a request
  cut_both,       // data on established connections is lost and new connections fail, in both directions
  cut_to_node,    // data from routers to the node is lost
  cut_from_node,  // data from the node to routers is lost
  cut_role,       // as cut_both, at all nodes of the node's role at once
  delay,          // as cut_both, but lost data arrives at the end, as after TCP retransmission
  hang,           // the process is suspended and resumes at the end
  vanish,         // the machine fails; at the end another process at its address resets the old connections
  restart,  // the process ends at once; another one at its address starts after a quarter of the duration
  reset,    // all connections to the node are reset
  slow_connect,  // connections are established late or never
  late_list,     // the router gets endpoint list updates late
  drain,         // the node drains and is removed at the end
  stop_router,   // SIGTERM: another process takes the requests from then on
};

struct Step {
  StepKind kind = StepKind::request;
  std::size_t index = 0;  // position in the whole schedule; names the request
  // Start: since the beginning of the schedule. Duration: of a fault, or until the client of a request
  // disconnects.
  Micros start{}, duration{};
  std::size_t router_index = 0, node_index = 0, class_index = 0;
  double prompt_tokens = 0;
  Micros time_budget{};
  std::string text() const;
};

struct Schedule {
  std::uint64_t seed = 0;
  Settings settings;
  std::size_t prefill_nodes = 0, decode_nodes = 0, routers = 0;
  std::vector<Step> steps;
};

// Nodes of each role that get no faults; without one, no router could comply with the rule.
constexpr std::size_t fault_free_nodes_per_role = 1;

Schedule random_schedule(std::uint64_t seed);

}  // namespace lemonroute::held_state
