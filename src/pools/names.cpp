#include "pools/names.h"

#include <charconv>

namespace lemonroute::pools {

std::optional<PoolName> parse_pool(std::string_view text) {
  const auto slash = text.rfind('/');  // a site's name may contain slashes
  if (slash == std::string_view::npos || slash == 0 || slash > max_name_bytes)
    return std::nullopt;
  PoolName name{std::string(text.substr(0, slash)), 0};
  const char* begin = text.data() + slash + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, name.cell);
  if (parsed.ec != std::errc() || parsed.ptr != end || name.cell > 65535)
    return std::nullopt;
  return name;
}

}  // namespace lemonroute::pools
