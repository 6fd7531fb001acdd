// A drawn schedule of requests and network faults, as data: it is printed, played again, and made smaller.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::held {

enum class StepKind {
  request,        // a client asks
  cut_both,       // bytes of connections that are up are swallowed, new ones do not come up
  cut_to_node,    // one way: what routers send does not arrive
  cut_from_node,  // the other way: answers do not arrive
  cut_role,       // as cut_both, at all nodes of the node's role together
  delay,          // as cut_both, but what was sent arrives at the end, as TCP sends it again
  hang,           // the process stands still in the middle of its work and goes on
  vanish,   // the machine is gone; at the end another process has its address and resets the old connections
  restart,  // the process ends at once, another one takes its address at the end
  reset,    // all connections to the node are reset
  slow_connect,  // connections come up late or never
  late_list,     // discovery tells the router late
  drain,         // the node is told to drain, and goes at the end
  stop_router,   // SIGTERM: another process takes what is asked from then on
};

struct Step {
  StepKind kind = StepKind::request;
  std::size_t number = 0;  // in the whole schedule; a request is named by it
  Micros at{}, span{};  // from the beginning of the schedule; how long it lasts, or until its client has gone
  std::size_t router = 0, node = 0, kind_of_request = 0;
  double tokens = 0;
  Micros budget{};
  std::string text() const;
};

struct Schedule {
  std::uint64_t seed = 0;
  Settings settings;
  std::size_t prefill_nodes = 0, decode_nodes = 0, routers = 0;
  std::vector<Step> steps;
};

// The nodes of each role that no fault touches; without any, no router could keep the rule.
constexpr std::size_t spared = 1;

Schedule draw_schedule(std::uint64_t seed);

}  // namespace lemonroute::held
