#include "estimation/prefix_index.h"

#include <algorithm>

#include "estimation/conversions.h"
#include "estimation/hash.h"

namespace lemonroute::estimation {
namespace {

// Older records of a prefix are dropped when the prefix gets a new record.
constexpr Micros max_record_age = 10 * PrefixIndex::full_confidence_for;

}  // namespace

void PrefixIndex::record(Key key, EndpointId node, double tokens, Micros now) {
  if (key == 0 || tokens <= 0)
    return;
  if (records_.size() >= max_keys && !records_.contains(key)) {
    // Evicts an arbitrary prefix, chosen by hash. If the smallest key were always evicted, large keys would
    // never leave and would fill the index.
    const auto candidate = records_.lower_bound(hash64(key));
    const auto evicted = candidate == records_.end() ? records_.begin() : candidate;
    records_.erase(evicted);
  }
  std::vector<CacheRecord>& prefix_records = records_[key];
  std::erase_if(prefix_records, [&](const CacheRecord& record) {
    return record.node == node || now - record.recorded_at > max_record_age;
  });
  prefix_records.push_back({node, tokens, now});
}

double PrefixIndex::cached_tokens(Key key, EndpointId node, Micros valid_since, Micros now) const {
  const auto prefix_records = records_.find(key);  // record() stores nothing for key 0
  if (prefix_records == records_.end())
    return 0;
  for (const CacheRecord& record : prefix_records->second) {
    if (record.node != node || record.recorded_at <= valid_since)
      continue;
    const double age = std::max(1.0, to_microseconds(now - record.recorded_at));
    return record.tokens * std::min(1.0, to_microseconds(full_confidence_for) / age);
  }
  return 0;
}

}  // namespace lemonroute::estimation
