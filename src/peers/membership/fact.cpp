#include "peers/membership/fact.h"

#include <algorithm>
#include <charconv>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {
namespace {

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

}  // namespace

bool valid_name(std::string_view name) {
  return !name.empty() && name.size() <= limits::max_name_bytes && printable(name);
}

bool valid_address(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || address.size() > limits::max_address_bytes)
    return false;
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [at, error] = std::from_chars(address.data() + colon + 1, end, port);
  return error == std::errc() && at == end && port != 0 && printable(address);
}

bool valid(const Fact& fact) {
  return valid_name(fact.name) && fact.site.size() <= limits::max_site_bytes && printable(fact.site) &&
         valid_address(fact.address) && fact.start <= limits::max_start_us &&
         fact.incarnation <= limits::max_incarnation &&
         (fact.reported_by.empty() || valid_name(fact.reported_by));
}

}  // namespace lemonroute::peers::membership
