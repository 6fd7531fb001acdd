// Whether a fact of a scene holds, by what processes last printed. Free of I/O.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "scene/scene.h"

namespace lemonroute::rig {

struct Known {
  bool running = false, ready = false, fresh = false;  // fresh: asked since the step began
  bool ended_well = false;                             // it has ended by itself, with 0
  nlohmann::json fleet;                                // GET /fleet; null where there was no answer
};
using AllKnown = std::map<std::string, Known>;  // by router

// Empty: it holds. Otherwise what is there instead, for whoever waits for it. Facts of the ledger are not
// judged here.
std::string missing(const Fact& fact, const AllKnown& known);
std::string summary(const std::string& name, const Known& known);  // one line on what it sees
bool compares(std::uint64_t is, Compare how, std::uint64_t wanted);

}  // namespace lemonroute::rig
