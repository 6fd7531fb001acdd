#include "core/router/node_registry.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lemonroute {

namespace {

// Number of removed nodes whose names are kept, so that an operator may still drain or undrain them. The
// limit bounds the memory of a router whose nodes are replaced many times.
constexpr std::size_t max_removed_names = 1024;

// The Scheduler refers to zones and machine kinds by indexes of one byte. The index of a kind that is not in
// the list is the size of the list.
constexpr std::ptrdiff_t max_index = 255;

const char* state_name(EndpointState state) {
  switch (state) {
    case EndpointState::ready:
      return "ready";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      return "removed";
  }
  return "unknown";
}

const char* kind_name(EndpointListKind kind) {
  return kind == EndpointListKind::incremental ? "incremental" : "full";
}

}  // namespace

NodeRegistry::NodeRegistry(const Settings& settings, std::vector<std::string> zones,
                           std::vector<std::string> kinds, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      configured_zone_count_(zones.size()),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)) {}

EndpointListUpdate NodeRegistry::update(EndpointListKind kind, std::uint32_t version,
                                        const std::vector<ListedNode>& listed) {
  EndpointListUpdate update{kind, version, {}};
  list_version_ = version;
  if (kind != EndpointListKind::incremental)
    for (auto& [id, node] : known_nodes_)
      node.endpoint.state = node.listed_state = EndpointState::removed;
  for (const ListedNode& listed_node : listed) {
    store(listed_node);
    update.endpoints.push_back(known_nodes_[endpoint_ids_[listed_node.name]].endpoint);
  }
  log_update(update);
  erase_removed();
  return update;
}

void NodeRegistry::store(const ListedNode& listed) {
  const EndpointId id = id_of(listed.name);
  Node& node = known_nodes_[id];
  endpoint_ids_[listed.name] = id;
  node.id = id;
  node.name = listed.name;
  if (!listed.address.empty())
    node.address = listed.address;
  node.zone = listed.zone;
  node.kind = listed.kind;
  node.endpoint = {id, 0, 0, listed.cell, listed.state, listed.weight, listed.started_at};
  assign_zone_and_kind(node);
  node.listed_state = listed.state;
  node.listed_start = listed.started_at;
  apply_overlay(node);
  // The log lines of the Scheduler identify a node by its endpoint id.
  logging::info() << "endpoint updated: name=" << listed.name << " endpoint=" << id
                  << " state=" << state_name(listed.state)
                  << " override=" << (admin_overrides_.is_drained(listed.name) ? "drained" : "none");
}

void NodeRegistry::log_update(const EndpointListUpdate& update) const {
  logging::info() << "endpoint list updated: version=" << update.version << " kind=" << kind_name(update.kind)
                  << " endpoints=" << update.endpoints.size() << " ready=" << ready_node_count();
}

// Attempts that are in progress at a removed node have their own copy of the node's name.
void NodeRegistry::erase_removed() {
  std::erase_if(known_nodes_, [this](const auto& known) {
    const auto& [id, node] = known;
    if (node.endpoint.state != EndpointState::removed)
      return false;
    auto& names = removed_node_names_;
    if (std::find(names.begin(), names.end(), node.name) == names.end())
      names.push_back(node.name);
    endpoint_ids_.erase(node.name);
    last_contact_.erase(id);
    return true;
  });
  while (removed_node_names_.size() > max_removed_names)
    removed_node_names_.pop_front();
}

EndpointListUpdate NodeRegistry::set_zones_and_kinds(std::vector<std::string> zones,
                                                     std::vector<std::string> kinds) {
  configured_zone_count_ = zones.size();
  zones_ = std::move(zones);
  kinds_ = std::move(kinds);
  EndpointListUpdate update{EndpointListKind::full, list_version_, {}};
  for (auto& [id, node] : known_nodes_) {
    assign_zone_and_kind(node);
    update.endpoints.push_back(node.endpoint);
  }
  return update;
}

void NodeRegistry::assign_zone_and_kind(Node& node) {
  const auto kind = std::find(kinds_.begin(), kinds_.end(), node.kind);
  node.endpoint.zone = zone_index(node.zone);
  node.endpoint.kind = static_cast<std::uint8_t>(std::min(kind - kinds_.begin(), max_index));
}

// The Scheduler takes equal indexes for one zone, and repeats a request with a key within it. So each name
// has an index of its own, whether or not the settings name the zone, and a node without a zone shares its
// zone with none.
std::uint8_t NodeRegistry::zone_index(const std::string& name) {
  if (name.empty())
    return unknown_zone;
  auto found = std::find(zones_.begin(), zones_.end(), name);
  if (found == zones_.end() && zones_.size() < unknown_zone)
    found = zones_.insert(found, name);
  if (found == zones_.end()) {
    const auto listed_only =
        zones_.begin() + static_cast<std::ptrdiff_t>(std::min(configured_zone_count_, zones_.size()));
    found =
        std::find_if(listed_only, zones_.end(), [this](const auto& zone) { return !is_zone_in_use(zone); });
    if (found != zones_.end())
      *found = name;
  }
  return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(found - zones_.begin(), unknown_zone));
}

bool NodeRegistry::is_zone_in_use(const std::string& name) const {
  return std::any_of(known_nodes_.begin(), known_nodes_.end(),
                     [&](const auto& known) { return known.second.zone == name; });
}

const Node* NodeRegistry::find(EndpointId id) const {
  const auto found = known_nodes_.find(id);
  return found == known_nodes_.end() ? nullptr : &found->second;
}

const Node* NodeRegistry::find(const std::string& name) const {
  const auto found = endpoint_ids_.find(name);
  return found == endpoint_ids_.end() ? nullptr : find(found->second);
}

std::string NodeRegistry::name_of(EndpointId id) const {
  const Node* node = find(id);
  return node ? node->name : "";
}

EndpointId NodeRegistry::id_of(const std::string& name) const {
  if (const auto known = endpoint_ids_.find(name); known != endpoint_ids_.end())
    return known->second;
  auto id = static_cast<EndpointId>(hash_text(name));
  while (known_nodes_.count(id))
    ++id;
  return id;
}

Role NodeRegistry::role_of(EndpointId id) const {
  const Node* node = find(id);
  if (!node || node->endpoint.kind >= settings_.role_by_kind.size())
    return Role::mixed;
  return settings_.role_by_kind[node->endpoint.kind];
}

bool NodeRegistry::is_ready(EndpointId id) const {
  const Node* node = find(id);
  return node && node->ready();
}

std::size_t NodeRegistry::ready_node_count() const {
  const auto ready = [](const auto& known) { return known.second.ready(); };
  return static_cast<std::size_t>(std::count_if(known_nodes_.begin(), known_nodes_.end(), ready));
}

void NodeRegistry::record_load_report(EndpointId id, std::string load_report, Micros reported_at) {
  const auto found = known_nodes_.find(id);
  if (found == known_nodes_.end())
    return;
  found->second.load_report = std::move(load_report);
  found->second.load_reported_at = reported_at;
}

void NodeRegistry::record_answer(EndpointId id) {
  if (known_nodes_.count(id))
    last_contact_[id].last_answer = clock_.now();
}

void NodeRegistry::record_failure(EndpointId id) {
  if (known_nodes_.count(id))
    last_contact_[id].last_failure = clock_.now();
}

bool NodeRegistry::failed_at_last_contact(EndpointId id) const {
  const auto found = last_contact_.find(id);
  if (found == last_contact_.end())
    return false;
  const LastContact& contact = found->second;
  return contact.last_failure > Micros(0) && contact.last_failure >= contact.last_answer;
}

bool NodeRegistry::has_answered_since(EndpointId id, Micros since) const {
  const auto found = last_contact_.find(id);
  return found != last_contact_.end() && found->second.last_answer >= since && !failed_at_last_contact(id);
}

std::optional<Micros> NodeRegistry::last_answer(EndpointId id) const {
  const auto found = last_contact_.find(id);
  return found == last_contact_.end() ? std::nullopt : std::optional(found->second.last_answer);
}

}  // namespace lemonroute
