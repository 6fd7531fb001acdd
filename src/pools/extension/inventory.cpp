#include "pools/extension/inventory.h"

namespace lemonroute::pools {

double Inventory::total() const {
  double sum = 0;
  for (const auto& [name, count] : decode_nodes)
    sum += static_cast<double>(count);
  return sum;
}

Inventory build_inventory(const std::vector<Node>& nodes, const Settings& settings,
                          const std::set<std::string>& decode_kinds) {
  Inventory inventory;
  std::map<std::string, std::size_t> ready_at_site;
  for (const auto& node : nodes) {
    if (!decode_kinds.contains(node.kind) || node.listed_state == EndpointState::removed ||
        node.zone.size() > max_name_bytes || !settings.region_of(node.zone))
      continue;
    const std::size_t ready = node.listed_state == EndpointState::ready ? 1 : 0;
    inventory.decode_nodes[{node.zone, node.endpoint.cell}] += ready;
    ready_at_site[node.zone] += ready;
    if (inventory.decode_nodes.size() > max_pools)
      inventory.decode_nodes.erase(std::prev(inventory.decode_nodes.end()));
  }
  for (const auto& [site, ready] : ready_at_site)
    if (ready == 0)
      inventory.lost_sites.insert(site);
  return inventory;
}

}  // namespace lemonroute::pools
