/// \file
/// Map lookup that returns a pointer.
#pragma once

namespace lemonroute::decisions {

/// Returns a pointer to the value of `key`, or null if the map does not contain it. The pointer is valid
/// until the entry is erased.
template <class Map>
[[nodiscard]] auto* find_or_null(Map& map, const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace lemonroute::decisions
