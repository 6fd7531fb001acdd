/// \file
/// Looks a key up in a map.
#pragma once

namespace lemonroute::decisions {

/// Returns the address of the value at `key`, or null where the map has no such key. The pointer is valid
/// until the entry is erased.
template <class Map>
[[nodiscard]] auto* find_or_null(Map& map, const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace lemonroute::decisions
