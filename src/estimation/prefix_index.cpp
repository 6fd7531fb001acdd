#include "estimation/prefix_index.h"

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/hash.h"

namespace lemonroute::estimation {
namespace {

constexpr Micros forgotten_after = 10 * PrefixIndex::full_confidence_for;

}  // namespace

void PrefixIndex::record(Key key, EndpointId host, double length, Micros now) {
  if (key == 0 || length <= 0)
    return;
  if (entries_.size() >= max_keys && !entries_.contains(key)) {
    // Any key may go. The least one would always be a new one.
    const auto victim = entries_.lower_bound(hash64(key));
    entries_.erase(victim == entries_.end() ? entries_.begin() : victim);
  }
  auto& cached = entries_[key];
  std::erase_if(cached,
                [&](const Cached& one) { return one.host == host || now - one.at > forgotten_after; });
  cached.push_back({host, length, now});
}

double PrefixIndex::cached_tokens(Key key, EndpointId host, Micros void_before, Micros now) const {
  const auto found = key == 0 ? entries_.end() : entries_.find(key);
  if (found == entries_.end())
    return 0;
  for (const Cached& one : found->second)
    if (one.host == host && one.at > void_before)
      return one.length * std::min(1.0, to_microseconds(full_confidence_for) /
                                            std::max(1.0, to_microseconds(now - one.at)));
  return 0;
}

}  // namespace lemonroute::estimation
