#include "estimation/prefix_index.h"

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/hash.h"

namespace lemonroute::estimation {
namespace {

// Records older than this are dropped when their prefix gets a new one.
constexpr Micros dropped_after = 10 * PrefixIndex::full_confidence_for;

}  // namespace

void PrefixIndex::record(Key key, EndpointId node, double tokens, Micros now) {
  if (key == 0 || tokens <= 0)
    return;
  if (records_.size() >= max_keys && !records_.contains(key)) {
    // An arbitrary prefix goes, by hash. Always the least key would be wrong: large keys would then stay for
    // ever, and fill the index.
    const auto at_hash = records_.lower_bound(hash64(key));
    const auto evicted = at_hash == records_.end() ? records_.begin() : at_hash;
    records_.erase(evicted);
  }
  std::vector<CacheRecord>& of_prefix = records_[key];
  std::erase_if(of_prefix, [&](const CacheRecord& record) {
    return record.node == node || now - record.recorded_at > dropped_after;
  });
  of_prefix.push_back({node, tokens, now});
}

double PrefixIndex::cached_tokens(Key key, EndpointId node, Micros valid_since, Micros now) const {
  const auto of_prefix = records_.find(key);  // record() keeps nothing for key 0
  if (of_prefix == records_.end())
    return 0;
  for (const CacheRecord& record : of_prefix->second) {
    if (record.node != node || record.recorded_at <= valid_since)
      continue;
    const double age = std::max(1.0, to_microseconds(now - record.recorded_at));
    return record.tokens * std::min(1.0, to_microseconds(full_confidence_for) / age);
  }
  return 0;
}

}  // namespace lemonroute::estimation
