// NodeRegistry: the operators' overrides and the fleet view, which modify the endpoint list.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/router/node_registry.h"

namespace lemonroute {

OverrideResult NodeRegistry::drain(const std::string& name) {
  return set_override(name, Override::drained);
}

OverrideResult NodeRegistry::undrain(const std::string& name) {
  return set_override(name, Override::none);
}

OverrideResult NodeRegistry::set_override(const std::string& name, Override wanted) {
  const auto& removed = removed_node_names_;
  const bool known = find(name) || admin_overrides_.is_drained(name) ||
                     std::find(removed.begin(), removed.end(), name) != removed.end();
  if (!known)
    return OverrideResult::unknown_node;
  const bool drained = wanted == Override::drained;
  if (!admin_overrides_.set_override(name, drained, clock_.now()))
    return OverrideResult::not_stored;
  logging::info() << (drained ? "node draining: name=" : "node undrained: name=") << name << " reason=admin";
  return OverrideResult::applied;
}

void NodeRegistry::load_overrides(std::string path, LockFile& lock) {
  admin_overrides_.load_from(std::move(path), lock);
}

bool NodeRegistry::reload_overrides() {
  if (!admin_overrides_.reload())
    return false;
  logging::info() << "overrides reloaded: reason=changed_by_other_process";
  return true;
}

bool NodeRegistry::is_drained_by_operator(const std::string& name) const {
  return admin_overrides_.is_drained(name);
}

void NodeRegistry::set_fleet_view(std::shared_ptr<const FleetView> fleet_view) {
  fleet_view_ = std::move(fleet_view);
}

Settings NodeRegistry::effective_settings() const {
  Settings settings = settings_;
  if (const auto router_count = fleet_view_ ? fleet_view_->router_count() : 0)
    settings.router_count = router_count;
  return settings;
}

std::vector<EndpointId> NodeRegistry::record_cache_losses() {
  std::vector<EndpointId> affected;
  for (auto& [id, node] : known_nodes_) {
    const Micros lost_at = fleet_view_ ? fleet_view_->cache_lost_at(node) : Micros(0);
    if (lost_at <= node.cache_lost_at)
      continue;
    node.cache_lost_at = lost_at;
    affected.push_back(id);
  }
  return affected;
}

std::vector<CacheHint> NodeRegistry::cache_hints(Key session_key, Key shared_prefix_key) const {
  std::vector<CacheHint> hints;
  if (!fleet_view_)
    return hints;
  for (const CacheLocation& location : fleet_view_->cache_locations(session_key, shared_prefix_key))
    if (const auto id = endpoint_ids_.find(location.node); id != endpoint_ids_.end())
      hints.push_back({id->second, location.tokens, std::clamp(location.confidence, 0.0, 1.0)});
  return hints;
}

// For the Scheduler, a node is draining if an operator has drained it, if it belongs to a pool of other
// routers, or if its overlay has expired so that it may belong to them. An undrained node counts as just
// started: it may have restarted in the meantime, and discovery reports a restart seconds late.
bool NodeRegistry::apply_overlay(Node& node) {
  const FleetView::NodeOverlay overlay = fleet_view_ ? fleet_view_->overlay(node) : FleetView::NodeOverlay{};
  const bool drained_by_view = overlay.drained || overlay.expires_at <= clock_.now();
  if (!drained_by_view)
    overlay_expires_at_ = std::min(overlay_expires_at_, overlay.expires_at);
  const bool drained = admin_overrides_.is_drained(node.name) || drained_by_view;
  const EndpointState state =
      drained && node.listed_state == EndpointState::ready ? EndpointState::draining : node.listed_state;
  const Micros undrained_at = admin_overrides_.undrained_at(node.name).value_or(Micros(0));
  const Micros started_at = std::max({node.listed_start, undrained_at, overlay.started_at});
  if (node.endpoint.state == state && node.endpoint.started_at == started_at)
    return false;
  node.endpoint.state = state;
  node.endpoint.started_at = started_at;
  return true;
}

EndpointListUpdate NodeRegistry::refresh_overlays() {
  EndpointListUpdate update{EndpointListKind::incremental, list_version_, {}};
  overlay_expires_at_ = Micros::max();
  for (auto& [id, node] : known_nodes_)
    if (apply_overlay(node))
      update.endpoints.push_back(node.endpoint);
  return update;
}

}  // namespace lemonroute
