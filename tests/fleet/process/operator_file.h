// The operator's file of one conductor of a scene.
#pragma once

#include <map>
#include <string>

#include "scene/scene.h"

namespace lemonroute::rig {

// Where a conductor is reached, and what it reaches.
struct Places {
  std::string serve, management, peers, discovery;
  std::map<std::string, std::string> via;  // of each other conductor: the relay's address
};

// `key_files`: in the order of the conductor's keys.
std::string operator_file(const Scene& scene, const ConductorLine& conductor, const Places& places,
                          const Names& seeds, const Names& key_files, bool peers);

}  // namespace lemonroute::rig
