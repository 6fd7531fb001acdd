// One step out of one line, whose verb has been taken.
#pragma once

#include "scene/line.h"

namespace lemonroute::rig {

Step read_step(const Scene& scene, Line& line, const std::string& verb);  // throws SceneError
Fact read_fact(const Scene& scene, Line& line);
// Routers (and devices) up to a word that is none: names, ranges, site=S, region=R, all. Without doubles,
// sorted.
Names read_names(const Scene& scene, Line& line, bool devices);

}  // namespace lemonroute::rig
