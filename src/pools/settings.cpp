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

std::uint64_t Settings::mark() const {
  std::ostringstream text;
  text << terms.lease.count() << ' ' << terms.clock_error << ' ' << terms.margin.count() << '\n';
  const auto put = [&text](const std::string& word) { text << word.size() << ':' << word << ' '; };
  for (const auto& [name, region] : regions) {
    put(name);
    auto sorted = region.sites;
    std::sort(sorted.begin(), sorted.end());
    for (const auto& site : sorted)
      put(site);
    text << "| ";
    sorted = region.keepers;
    std::sort(sorted.begin(), sorted.end());
    for (const auto& keeper : sorted)
      put(keeper);
    text << "| ";
    for (const auto& pool : region.reserve)
      put(pool.text());
    text << '\n';
  }
  return hash_text(text.str());
}

}  // namespace lemonroute::pools
