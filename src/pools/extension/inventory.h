// The pools that the listed nodes form.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "pools/settings.h"

namespace lemonroute::pools {

/// The decode nodes of all regions by pool.
struct Inventory {
  std::map<PoolName, std::size_t>
      decode_nodes;                  ///< decode nodes that are listed as ready, by pool; 0: none is left
  std::set<std::string> lost_sites;  ///< sites whose decode nodes are listed, but none of them as ready
  /// Number of decode nodes that are listed as ready.
  double total() const;
};

/// Groups the nodes by pool. `decode_kinds`: kinds of nodes that are decode nodes. Keeps the first
/// `max_pools` pools by name.
Inventory build_inventory(const std::vector<Node>& nodes, const Settings& settings,
                          const std::set<std::string>& decode_kinds);

}  // namespace lemonroute::pools
