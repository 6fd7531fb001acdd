// What an operator's file says of an installation that no platform describes: settings, kinds, classes and
// nodes. Where there is a platform's file, that one wins in all of it, and this file may only name classes
// that it knows.
#pragma once

#include <string>
#include <vector>

#include "config/platform.h"
#include "config/section.h"

namespace lemonroute::config {

struct Installation {
  static constexpr const char* unnamed = "lemonroute";  // what a router is called where nothing names it
  bool stated = false;                                  // whether the file speaks of any of this
  Platform platform;   // as the platform's file would have it; `known` holds the fixed nodes
  bool fixed = false;  // the nodes are those of the file, and no discovery is asked
  struct Named {
    std::string name;
    std::size_t line = 0;
  };
  std::vector<Named> classes;  // with their lines, to be held against the platform's
};

// Takes [serve], [settings], [kinds.*], [classes.*] and [[fleet]] out of the file. The faults name every
// broken rule.
Installation read_installation(Section& file);

// What `node` may be written as in a fleet, here and in expectations: name, address, kind, zone, cell,
// weight, phase, started. `zones` and `kinds`: names known so far; an unknown kind is a fault, a new zone is
// added.
struct FleetNode {
  Router::ListedNode listed;
  std::size_t line = 0;
};
FleetNode read_node(Section& node, const std::vector<std::string>& kinds, std::vector<std::string>& zones);

}  // namespace lemonroute::config
