#include "pools/extension/inventory.h"

namespace lemonroute::pools {

double Inventory::all() const {
  double sum = 0;
  for (const auto& [name, count] : writers)
    sum += static_cast<double>(count);
  return sum;
}

Inventory take_stock(const std::vector<Node>& nodes, const Settings& settings,
                     const std::set<std::string>& kinds) {
  Inventory stock;
  std::map<std::string, std::size_t> at_site;
  for (const auto& node : nodes) {
    if (!kinds.contains(node.kind) || node.listed_state == EndpointState::removed ||
        node.zone.size() > most_name || !settings.region_of(node.zone))
      continue;
    const std::size_t ready = node.listed_state == EndpointState::ready ? 1 : 0;
    stock.writers[{node.zone, node.endpoint.cell}] += ready;
    at_site[node.zone] += ready;
    if (stock.writers.size() > most_pools)
      stock.writers.erase(std::prev(stock.writers.end()));
  }
  for (const auto& [site, ready] : at_site)
    if (ready == 0)
      stock.lost.insert(site);
  return stock;
}

}  // namespace lemonroute::pools
