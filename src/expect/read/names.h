// How a case names its nodes: by their names, or several at once ("zone:a", "cell:3", "kind:reader", "all").
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "expect/case.h"

namespace lemonroute::expect {

// Nothing if there is none of this name.
const ScriptedNode* find_node(const std::vector<ScriptedNode>& nodes, const std::string& name);
// Adds a fault at `key` if there is none of this name.
bool check_node(Section& in, std::string_view key, const std::string& name,
                const std::vector<ScriptedNode>& nodes);
// Reads a text or a list of texts that name nodes. False, with `to` as it was, where it is missing or names
// none.
bool read_node_set(Section& in, std::string_view key, const std::vector<ScriptedNode>& nodes,
                   std::vector<std::string>& to);

}  // namespace lemonroute::expect
