#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

void Router::update_settings(Settings settings, std::vector<std::string> zones,
                             std::vector<std::string> kinds) {
  settings_ = std::move(settings);
  zones_ = std::move(zones);
  kinds_ = std::move(kinds);
  request_metrics_.set_classes(settings_.classes);
  scheduler_.update_settings(effective_settings());
  // The entries of the list tell zones and kinds by their places in the lists of names, which may be others
  // now.
  EndpointListUpdate list{EndpointListKind::full, list_version_, {}};
  for (auto& [id, node] : known_nodes_) {
    assign_zone_and_kind(node);
    list.endpoints.push_back(node.endpoint);
  }
  enqueue(std::move(list));
  report_endpoints();
}

Router::OverrideResult Router::drain_node(const std::string& node) {
  return set_override(node, true);
}
Router::OverrideResult Router::undrain_node(const std::string& node) {
  return set_override(node, false);
}

Router::OverrideResult Router::set_override(const std::string& node, bool out) {
  const bool listed = std::any_of(known_nodes_.begin(), known_nodes_.end(),
                                  [&](auto& one) { return one.second.name == node; });
  if (!listed && !admin_overrides_.is_drained(node) &&
      std::find(removed_node_names_.begin(), removed_node_names_.end(), node) == removed_node_names_.end())
    return OverrideResult::unknown_node;
  if (!admin_overrides_.set_override(node, out, clock_.now()))
    return OverrideResult::not_stored;
  logging::info() << "node " << node << (out ? " is out by hand" : " may serve again");
  reapply_overlays();
  return OverrideResult::applied;
}

void Router::load_overrides(std::string path, LockFile& lock) {
  admin_overrides_.load_from(std::move(path), lock);
  reapply_overlays();
}

void Router::reload_overrides() {
  if (!admin_overrides_.reload())
    return;
  logging::info() << "nodes were taken out or put back at the other process of this router";
  reapply_overlays();
}

RouterMetrics Router::metrics() const {
  RouterMetrics figures{request_metrics_.all(), sent_attempts_, open_requests_, known_nodes_.size(), 0};
  const auto avoided = scheduler_.ejected_endpoints(clock_.now());
  for (const auto& [id, node] : known_nodes_)
    if (admin_overrides_.is_drained(node.name) ||
        std::find(avoided.begin(), avoided.end(), id) != avoided.end())
      ++figures.unhealthy_nodes;
  return figures;
}

}  // namespace lemonroute
