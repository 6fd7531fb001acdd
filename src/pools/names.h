// What pools are called, and the bounds of how many there may be.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

inline constexpr std::size_t most_pools = 4096;  // of all regions together
inline constexpr std::size_t most_regions = 16;
inline constexpr std::size_t most_name = 64;  // bytes of a site's or router's name

// The writers of one cell, written "SITE/CELL" in files and on the wire.
struct PoolName {
  std::string site;
  std::uint32_t cell = 0;
  auto operator<=>(const PoolName&) const = default;
  std::string text() const { return site + "/" + std::to_string(cell); }
};

// Nothing where it is no such name.
std::optional<PoolName> parse_pool(std::string_view text);

}  // namespace lemonroute::pools
