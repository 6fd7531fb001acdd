#include "pools/extension/planner_selection.h"

#include <algorithm>

#include "core/types.h"

namespace lemonroute::pools {
namespace {
bool reachable(const std::string& name, const peers::View& view) {
  const auto* member = view.find(name);
  return member && member->is_live() && !member->unreachable_from_here;
}
}  // namespace

std::string select_planner(const std::string& region, const std::vector<std::string>& grantors,
                           const peers::View& view) {
  std::string best;
  std::uint64_t best_rank = 0;
  for (const auto& grantor : grantors) {
    std::string hashed = region;
    hashed += '\n';
    hashed += grantor;
    const auto rank = hash_text(hashed);
    if (reachable(grantor, view) && (best.empty() || rank > best_rank))
      best = grantor, best_rank = rank;
  }
  return best;
}

bool quorum_reachable(const std::vector<std::string>& grantors, const peers::View& view) {
  const auto count = std::count_if(grantors.begin(), grantors.end(),
                                   [&](auto& grantor) { return reachable(grantor, view); });
  return 2 * static_cast<std::size_t>(count) > grantors.size();
}

}  // namespace lemonroute::pools
