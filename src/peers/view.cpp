#include "peers/view.h"

#include <algorithm>

namespace lemonroute::peers {

const Member* View::find(std::string_view name) const {
  const auto at =
      std::lower_bound(members.begin(), members.end(), name,
                       [](const Member& one, std::string_view other) { return one.name < other; });
  return at != members.end() && at->name == name ? &*at : nullptr;
}

std::uint32_t View::there() const {
  return static_cast<std::uint32_t>(
      std::count_if(members.begin(), members.end(), [](auto& m) { return m.there(); }));
}

}  // namespace lemonroute::peers
