// Names of pools, and limits of the numbers of pools and regions.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lemonroute/scheduler.h"

namespace lemonroute::pools {

inline constexpr std::size_t max_pools = 4096;     ///< of all regions together
inline constexpr std::size_t max_regions = 16;     ///< maximum number of regions
inline constexpr std::size_t max_name_bytes = 64;  ///< of a site's or router's name

/// Names the pool of decode nodes of one cell. Written as "SITE/CELL" in files and in output.
struct PoolName {
  /// Site of the cell.
  std::string site;
  /// Number of the cell.
  std::uint32_t cell = 0;
  /// Compares the site, then the cell.
  auto operator<=>(const PoolName&) const = default;
  /// Returns "SITE/CELL".
  std::string text() const { return site + "/" + std::to_string(cell); }
};

/// Parses "SITE/CELL"; nothing if the text is not such a name.
std::optional<PoolName> parse_pool(std::string_view text);

}  // namespace lemonroute::pools
