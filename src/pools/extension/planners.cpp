#include "pools/extension/planners.h"

#include <algorithm>

#include "core/types.h"

namespace lemonroute::pools {
namespace {
bool there(const std::string& name, const peers::View& view) {
  const auto* member = view.find(name);
  return member && member->is_live() && !member->unreachable_from_here;
}
}  // namespace

std::string planner_of(const std::string& region, const std::vector<std::string>& keepers,
                       const peers::View& view) {
  std::string best;
  std::uint64_t most = 0;
  for (const auto& keeper : keepers) {
    std::string ranked = region;
    ranked += '\n';
    ranked += keeper;
    const auto rank = hash_text(ranked);
    if (there(keeper, view) && (best.empty() || rank > most))
      best = keeper, most = rank;
  }
  return best;
}

bool majority_there(const std::vector<std::string>& keepers, const peers::View& view) {
  const auto count =
      std::count_if(keepers.begin(), keepers.end(), [&](auto& keeper) { return there(keeper, view); });
  return 2 * static_cast<std::size_t>(count) > keepers.size();
}

}  // namespace lemonroute::pools
