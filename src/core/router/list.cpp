#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr std::size_t most_left = 1024;  // names of gone nodes that operators may still speak of

const char* word(EndpointState phase) {
  switch (phase) {
    case EndpointState::ready:
      return "ready";
    case EndpointState::draining:
      return "leaving";
    case EndpointState::removed:
      return "gone";
  }
  return "?";
}

}  // namespace

void Router::update_endpoints(EndpointListKind kind, std::uint32_t version,
                              const std::vector<ListedNode>& listed) {
  EndpointListUpdate list{kind, version, {}};
  list_version_ = version;
  if (kind != EndpointListKind::incremental)
    for (auto& [id, node] : known_nodes_)
      node.endpoint.state = node.listed_state = EndpointState::removed;
  for (const auto& item : listed) {
    const EndpointId id = endpoint_id(item.name);
    Node& node = known_nodes_[id];
    endpoint_ids_[item.name] = id;
    node.id = id;
    node.name = item.name;
    if (!item.address.empty())
      node.address = item.address;
    node.zone = item.zone;
    node.kind = item.kind;
    node.endpoint = {id, 0, 0, item.cell, item.state, item.weight, item.started_at};
    assign_zone_and_kind(node);
    node.listed_state = item.state;
    node.listed_start = item.started_at;
    apply_overlay(node);
    list.endpoints.push_back(node.endpoint);
    // The module's own lines name nodes by these numbers.
    logging::info() << "node " << item.name << " is host " << id << ", " << word(item.state)
                    << (admin_overrides_.is_drained(item.name) ? ", out by hand" : "");
  }
  logging::info() << "list " << version
                  << (kind == EndpointListKind::incremental ? ": changes for " : ": whole, ") << listed.size()
                  << " nodes, " << ready_nodes() << " ready";
  // Guards the memory of a router that outlives its nodes many times over: a node that has gone is
  // forgotten. What is still under way there knows its name.
  std::erase_if(known_nodes_, [this](const auto& node) {
    const bool gone = node.second.endpoint.state == EndpointState::removed;
    if (gone && std::find(removed_node_names_.begin(), removed_node_names_.end(), node.second.name) ==
                    removed_node_names_.end())
      removed_node_names_.push_back(node.second.name);
    if (gone) {
      endpoint_ids_.erase(node.second.name);
      last_contact_.erase(node.first);
    }
    return gone;
  });
  while (removed_node_names_.size() > most_left)
    removed_node_names_.pop_front();
  limit_starts_at_draining_nodes();
  enqueue(std::move(list));
  report_endpoints();
}

void Router::assign_zone_and_kind(Node& node) const {
  const auto index = [](const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(found - names.begin(), 255));
  };
  node.endpoint.zone = index(zones_, node.zone);
  node.endpoint.kind = index(kinds_, node.kind);
}

// The Scheduler sees a node that drains, and one that has just started when it is put back: it may have been
// restarted meanwhile, and discovery tells of that seconds late. Nodes of a pool that other routers have, or
// may have by now, drain as well.
bool Router::apply_overlay(Node& node) {
  const FleetView::NodeOverlay laid = fleet_view_ ? fleet_view_->overlay(node) : FleetView::NodeOverlay{};
  const bool away = laid.drained || laid.expires_at <= clock_.now();
  if (!away)
    overlay_expires_at_ = std::min(overlay_expires_at_, laid.expires_at);
  const bool out = admin_overrides_.is_drained(node.name) || away;
  const EndpointState phase =
      out && node.listed_state == EndpointState::ready ? EndpointState::draining : node.listed_state;
  const Micros started = std::max(
      {node.listed_start, admin_overrides_.undrained_at(node.name).value_or(Micros(0)), laid.started_at});
  if (node.endpoint.state == phase && node.endpoint.started_at == started)
    return false;
  node.endpoint.state = phase;
  node.endpoint.started_at = started;
  return true;
}

EndpointListUpdate Router::refresh_overlays() {
  EndpointListUpdate list{EndpointListKind::incremental, list_version_, {}};
  overlay_expires_at_ = Micros::max();
  for (auto& [id, node] : known_nodes_)
    if (apply_overlay(node))
      list.endpoints.push_back(node.endpoint);
  if (!list.endpoints.empty())
    limit_starts_at_draining_nodes();
  return list;
}

// Attempts to nodes that are not ready any more begin soon or not at all; half of what is allowed is left to
// the wire.
void Router::limit_starts_at_draining_nodes() {
  for (const auto& [id, entry] : requests_) {
    if (!entry->attempt || entry->attempt->streaming)
      continue;
    const auto node = known_nodes_.find(entry->attempt->endpoint);
    if (node == known_nodes_.end() || !node->second.ready())
      limit_attempt_start(*entry->attempt, clock_.now() + settings_.drain_grace / 2,
                          {Outcome::connect_failed, 0, {}, "its node leaves"});
  }
}

void Router::reapply_overlays() {
  if (EndpointListUpdate list = refresh_overlays(); !list.endpoints.empty())
    enqueue(std::move(list));
}

EndpointId Router::endpoint_id(const std::string& name) const {
  if (const auto known = endpoint_ids_.find(name); known != endpoint_ids_.end())
    return known->second;
  auto id = static_cast<EndpointId>(hash_text(name));
  while (known_nodes_.count(id))
    ++id;
  return id;
}

std::string Router::endpoint_name(EndpointId id) const {
  const auto found = known_nodes_.find(id);
  return found == known_nodes_.end() ? "" : found->second.name;
}

std::size_t Router::ready_nodes() const {
  return static_cast<std::size_t>(std::count_if(known_nodes_.begin(), known_nodes_.end(),
                                                [](const auto& node) { return node.second.ready(); }));
}

Role Router::role_of(EndpointId id) const {
  const auto found = known_nodes_.find(id);
  if (found == known_nodes_.end() || found->second.endpoint.kind >= settings_.kind_role.size())
    return Role::mixed;
  return settings_.kind_role[found->second.endpoint.kind];
}

}  // namespace lemonroute
