#include "expect/read/names.h"

#include <utility>

namespace lemonroute::expect {

const ScriptedNode* find_node(const std::vector<ScriptedNode>& nodes, const std::string& name) {
  for (const auto& node : nodes)
    if (node.name == name)
      return &node;
  return nullptr;
}

bool check_node(Section& in, std::string_view key, const std::string& name,
                const std::vector<ScriptedNode>& nodes) {
  if (find_node(nodes, name))
    return true;
  in.fault(key, "'" + name + "' is no node of this case");
  return false;
}

std::vector<std::string> names_by(const std::string& word, const std::vector<ScriptedNode>& nodes) {
  const auto colon = word.find(':');
  const std::string by = word.substr(0, colon);
  const std::string value = colon == std::string::npos ? "" : word.substr(colon + 1);
  std::vector<std::string> names;
  for (const auto& node : nodes)
    if (word == node.name || word == "all" || (by == "zone" && node.zone == value) ||
        (by == "kind" && node.kind == value) || (by == "cell" && std::to_string(node.cell) == value))
      names.push_back(node.name);
  return names;
}

bool read_node_set(Section& in, std::string_view key, const std::vector<ScriptedNode>& nodes,
                   std::vector<std::string>& to) {
  std::vector<std::string> words;
  if (!in.texts(key, words))
    return false;
  std::vector<std::string> names;
  for (const auto& word : words) {
    const auto some = names_by(word, nodes);
    names.insert(names.end(), some.begin(), some.end());
    if (some.empty()) {
      in.fault(key, "'" + word + "' names no node of this case");
      return false;
    }
  }
  to = std::move(names);
  return true;
}

}  // namespace lemonroute::expect
