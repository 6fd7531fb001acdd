// The links of a scene, one for each ordered pair of names, and what the scene's verbs make of them.
#pragma once

#include <map>
#include <utility>

#include "faults/link.h"
#include "scene/scene.h"

namespace lemonroute::rig {

class Links {
 public:
  Links(std::uint64_t seed, Micros period) : seed_(seed), period_(period) {}
  Link& between(const std::string& from, const std::string& to);
  void apply(const Step& step);  // cut, slow, lose, repeat, reorder, corrupt or heal
  bool whole() const;            // no link has a fault

 private:
  std::uint64_t seed_;
  Micros period_;
  std::map<std::pair<std::string, std::string>, Link> links_;
};

}  // namespace lemonroute::rig
