#include "pools/settings.h"

#include <algorithm>
#include <sstream>

#include "core/types.h"

namespace lemonroute::pools {

const std::string* Settings::region_of(const std::string& site) const {
  for (const auto& [name, region] : regions)
    if (std::find(region.sites.begin(), region.sites.end(), site) != region.sites.end())
      return &name;
  return nullptr;
}

std::uint64_t Settings::fingerprint() const {
  std::ostringstream text;
  text << terms.lease.count() << ' ' << terms.clock_error << ' ' << terms.margin.count() << '\n';
  const auto append = [&text](const std::string& value) { text << value.size() << ':' << value << ' '; };
  for (const auto& [name, region] : regions) {
    append(name);
    auto sorted = region.sites;
    std::sort(sorted.begin(), sorted.end());
    for (const auto& site : sorted)
      append(site);
    text << "| ";
    sorted = region.grantors;
    std::sort(sorted.begin(), sorted.end());
    for (const auto& keeper : sorted)
      append(keeper);
    text << "| ";
    for (const auto& pool : region.reserve)
      append(pool.text());
    text << '\n';
  }
  return hash_text(text.str());
}

}  // namespace lemonroute::pools
