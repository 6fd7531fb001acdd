#include "peers/view.h"

#include <algorithm>

namespace lemonroute::peers {

const Member* View::find(std::string_view name) const {
  const auto at =
      std::lower_bound(members.begin(), members.end(), name,
                       [](const Member& member, std::string_view wanted) { return member.name < wanted; });
  return at != members.end() && at->name == name ? &*at : nullptr;
}

std::uint32_t View::live_count() const {
  return static_cast<std::uint32_t>(
      std::count_if(members.begin(), members.end(), [](auto& m) { return m.is_live(); }));
}

}  // namespace lemonroute::peers
