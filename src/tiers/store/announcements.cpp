#include "tiers/store/announcements.h"

#include <algorithm>

namespace lemonroute::tiers {

const std::vector<Shown>& Announcements::holders(KeyId key) const {
  static const std::vector<Shown> none;
  const auto at = lines_.find(key);
  return at == lines_.end() ? none : at->second.line.holders;
}

void Announcements::set(Line line) {
  const auto at = lines_.find(line.key);
  if (at == lines_.end() && line.holders.empty())
    return;
  const auto key = line.key;
  const bool goes = at != lines_.end() && !at->second.line.holders.empty() && line.holders.empty();
  // Where more go than the budget lets be told, the others forget them with their lease.
  if (goes && gone_ >= most_gone_) {
    lines_.erase(at);
    return;
  }
  if (goes)
    ++gone_;
  if (at != lines_.end() && at->second.line.holders.empty() && !line.holders.empty())
    --gone_;
  auto& entry = at == lines_.end() ? lines_[key] : at->second;
  if (at == lines_.end() || differs(line.holders, entry.line.holders))
    entry.waiting = true, entry.again = news_again;
  entry.line = std::move(line);
}

void Announcements::keep_only(const std::function<bool(KeyId)>& which) {
  std::erase_if(lines_, [&](const auto& one) {
    if (which(one.first))
      return false;
    if (one.second.line.holders.empty())
      --gone_;
    return true;
  });
}

std::vector<const Line*> Announcements::due(Micros now, Micros repeat, std::size_t most) const {
  std::vector<const Entry*> chosen;
  for (const auto& [key, entry] : lines_)
    if (entry.waiting || now - entry.told >= (entry.again ? news_every : repeat))
      chosen.push_back(&entry);
  const auto first = [](const Entry* a, const Entry* b) {
    if (a->waiting != b->waiting)
      return a->waiting;
    if (!a->again != !b->again)
      return a->again > 0;
    if (!a->waiting && a->told != b->told)
      return a->told < b->told;
    return a->line.weight > b->line.weight;
  };
  const auto few = std::min(most, chosen.size());
  std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(few), chosen.end(), first);
  std::vector<const Line*> lines;
  for (std::size_t i = 0; i < few; ++i)
    lines.push_back(&chosen[i]->line);
  return lines;
}

void Announcements::told(KeyId key, Micros now) {
  const auto at = lines_.find(key);
  if (at == lines_.end())
    return;
  if (!at->second.waiting && at->second.again)
    --at->second.again;
  if (at->second.line.holders.empty() && at->second.again == 0) {
    lines_.erase(at);
    --gone_;
    return;
  }
  at->second.waiting = false;
  at->second.told = now;
}

std::vector<const Line*> Announcements::heaviest(std::size_t shard, std::size_t most,
                                                 std::uint32_t tokens_least) const {
  std::vector<const Line*> lines;
  for (const auto& [key, entry] : lines_)
    if (shard_of(key) == shard && !entry.line.holders.empty() &&
        entry.line.holders.front().tokens >= tokens_least)
      lines.push_back(&entry.line);
  const auto few = std::min(most, lines.size());
  std::partial_sort(lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(few), lines.end(),
                    [](auto* a, auto* b) { return a->weight > b->weight; });
  lines.resize(few);
  return lines;
}

std::vector<KeyId> Announcements::keys() const {
  std::vector<KeyId> keys;
  for (const auto& [key, entry] : lines_)
    keys.push_back(key);
  return keys;
}

}  // namespace lemonroute::tiers
