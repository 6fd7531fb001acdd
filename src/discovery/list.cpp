#include "discovery/list.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "net/connection.h"

namespace lemonroute::discovery {
namespace {

using nlohmann::json;

EndpointState parse_phase(const std::string& word) {
  if (word == "active")
    return EndpointState::ready;
  if (word == "leaving")
    return EndpointState::draining;
  if (word == "left")
    return EndpointState::removed;
  throw ListError("lifecycle '" + word + "' is not known");
}

// What a deployment has not may be left out of its list, or be null there: neither says anything.
template <class T>
T said(const json& item, const char* key, T otherwise) {
  const auto found = item.find(key);
  return found == item.end() || found->is_null() ? otherwise : found->get<T>();
}

Router::ListedNode parse_node(const json& item) {
  Router::ListedNode node;
  node.name = item.at("instanceId").get<std::string>();
  if (node.name.empty())
    throw ListError("an instanceId is empty");
  node.state = parse_phase(item.at("lifecycle").get<std::string>());
  node.address = said<std::string>(item, "hostPort", "");
  if (node.state != EndpointState::removed || !node.address.empty())
    net::SocketAddress{node.address};  // throws if it is none
  node.zone = said<std::string>(item, "zone", "");
  node.kind = said<std::string>(item, "machineType", "");
  node.cell = said<std::uint16_t>(item, "cell", unknown_cell);
  node.weight = said(item, "weight", 1.0f);
  if (!std::isfinite(node.weight))
    throw ListError("a weight is no number");
  node.started_at = std::chrono::milliseconds(said<std::int64_t>(item, "startedAtMs", 0));
  return node;
}

}  // namespace

NodeList parse_list(const json& json) {
  try {
    NodeList list;
    list.version = json.at("generation").get<std::uint32_t>();
    list.whole = json.value("reset", false);
    for (const auto& item : json.at("instances"))
      list.nodes.push_back(parse_node(item));
    return list;
  } catch (const nlohmann::json::exception& error) {
    throw ListError(error.what());
  } catch (const std::invalid_argument& error) {
    throw ListError(error.what());
  }
}

NodeList parse_list_text(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object())
    throw ListError("it is no JSON object");
  return parse_list(parsed);
}

}  // namespace lemonroute::discovery
