#include "tiers/store/told.h"

#include <algorithm>

namespace lemonroute::tiers {

bool Told::put(const Line& line, NameId teller, Micros now, const std::function<double(NameId)>& trust) {
  auto& rows = shards_[shard_of(line.key)];
  const auto at = rows.find(line.key);
  if (at != rows.end()) {
    auto& row = at->second;
    if (row.teller != teller && trust(teller) < trust(row.teller))
      return false;
    if (line.holders.empty()) {
      rows.erase(at);
      return true;
    }
    const bool other = row.teller != teller || differs(row.holders, line.holders);
    row = {line.holders, line.weight, teller, now};
    return other;
  }
  if (line.holders.empty())
    return false;
  // Heads keep the same bound, so that only one that overdoes it comes here, or a change of heads.
  if (rows.size() >= most_) {
    const auto least = std::min_element(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
      return std::pair(a.second.weight, a.first) < std::pair(b.second.weight, b.first);
    });
    ++evicted_;
    if (least->second.weight >= line.weight)
      return false;
    rows.erase(least);
  }
  rows[line.key] = {line.holders, line.weight, teller, now};
  return true;
}

bool Told::expire(Micros before) {
  std::size_t gone = 0;
  for (auto& rows : shards_)
    gone += std::erase_if(rows, [&](const auto& one) { return one.second.at < before; });
  return gone > 0;
}

const Told::Row* Told::find(KeyId key) const {
  const auto& rows = shards_[shard_of(key)];
  const auto at = rows.find(key);
  return at == rows.end() ? nullptr : &at->second;
}

std::vector<Line> Told::after(KeyId cursor, std::size_t most,
                              const std::function<bool(std::size_t)>& which) const {
  std::vector<Line> lines;
  for (auto shard = shard_of(cursor); shard < shards; ++shard) {
    if (!which(shard))
      continue;
    for (auto at = shards_[shard].upper_bound(cursor); at != shards_[shard].end(); ++at) {
      if (lines.size() == most)
        return lines;
      lines.push_back({at->first, at->second.weight, at->second.holders});
    }
  }
  return lines;
}

std::size_t Told::size() const {
  std::size_t all = 0;
  for (const auto& rows : shards_)
    all += rows.size();
  return all;
}

}  // namespace lemonroute::tiers
