#include "fleet/prefix_table.h"

#include <algorithm>

#include "fleet/learned.h"

namespace lemonroute::fleet {
namespace {

constexpr Micros forgotten_after = 10 * PrefixTable::fresh;

}  // namespace

void PrefixTable::record(Key key, HostId host, double length, Micros now) {
  if (key == 0 || length <= 0)
    return;
  if (entries_.size() >= most_keys && !entries_.contains(key)) {
    // Any key may go. The least one would always be a new one.
    const auto victim = entries_.lower_bound(mix(key));
    entries_.erase(victim == entries_.end() ? entries_.begin() : victim);
  }
  auto& cached = entries_[key];
  std::erase_if(cached,
                [&](const Cached& one) { return one.host == host || now - one.at > forgotten_after; });
  cached.push_back({host, length, now});
}

double PrefixTable::length(Key key, HostId host, Micros void_before, Micros now) const {
  const auto found = key == 0 ? entries_.end() : entries_.find(key);
  if (found == entries_.end())
    return 0;
  for (const Cached& one : found->second)
    if (one.host == host && one.at > void_before)
      return one.length * std::min(1.0, us(fresh) / std::max(1.0, us(now - one.at)));
  return 0;
}

}  // namespace lemonroute::fleet
