// The operator's file of one router of a scene.
#pragma once

#include <map>
#include <string>

#include "scene/scene.h"

namespace lemonroute::rig {

// Where a router is reached, and what it reaches.
struct Places {
  std::string serve, management, peers, discovery;
  std::map<std::string, std::string> via;  // of each other router: the relay's address
};

// `key_files`: in the order of the router's keys.
std::string operator_file(const Scene& scene, const RouterLine& router, const Places& places,
                          const Names& seeds, const Names& key_files, bool peers);

}  // namespace lemonroute::rig
