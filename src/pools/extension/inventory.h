// The pools that the node list makes.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "pools/settings.h"

namespace lemonroute::pools {

struct Inventory {
  std::map<PoolName, std::size_t> writers;  // listed as ready, by pool of any region; 0: none is left
  std::set<std::string> lost;  // sites of regions all of whose writers are listed, and none as ready
  double all() const;          // at sites that are not lost
};

// `kinds`: of nodes that are writers. At most most_pools pools, the first by name.
Inventory take_stock(const std::vector<Node>& nodes, const Settings& settings,
                     const std::set<std::string>& kinds);

}  // namespace lemonroute::pools
