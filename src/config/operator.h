// The operator's file: what is switched on beyond the platform's own protocol.
#pragma once

#include <string>
#include <vector>

#include "base/log.h"
#include "config/fleet.h"
#include "config/installation.h"

namespace lemonroute::config {

struct Operator {
  std::string application = "lemonroute";
  std::string platform_file;  // empty: BALANCER_CONFIG names it
  logging::Level log_level = logging::Level::info;
  std::vector<std::string> http_listen;  // beyond the platform's
  std::string grpc_listen;               // empty: off
  std::int64_t grpc_connections = 64;
  bool grpc_nodes = false;
  std::string agent_check_listen;  // empty: off
  std::string management_listen;   // empty: where the platform says, if it does
  std::optional<PeersFile> peers;  // none: off
  Regions regions;
  Installation installation;  // what holds where no platform's file speaks
};

// All faults at once; the result is of use only if there are none.
Operator read_operator(const std::string& path, std::vector<Fault>& faults);

// Classes that this file names and the platform does not know.
void check_classes(const Operator& settings, const std::string& path, const Platform& platform,
                   std::vector<Fault>& faults);
// What is missing for a start without a platform's file.
void check_alone(const Operator& settings, const std::string& path, std::vector<Fault>& faults);

// A commented file with every key, for the application named.
std::string operator_template(const std::string& application);

}  // namespace lemonroute::config
