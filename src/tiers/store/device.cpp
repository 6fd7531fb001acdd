#include "tiers/store/device.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace lemonroute::tiers {

namespace {
constexpr std::size_t devices_of_key = 2;
}

std::uint8_t weight_of(double worth) {
  return static_cast<std::uint8_t>(std::clamp(8 * std::log2(1 + std::max(0.0, worth)), 0.0, 255.0));
}

void DeviceTier::saw(KeyId key, NameId device, const Generation& generation, std::uint32_t tokens,
                     Micros now) {
  if (tokens == 0)
    return;
  // What a key is worth: the tokens whose reading it has saved, or could have.
  if (const auto gone = heavy_.add(key, tokens)) {
    entries_.erase(*gone);
    ++evicted_;
  }
  auto& entry = entries_[key];
  auto& holders = entry.holders;
  auto at =
      std::find_if(holders.begin(), holders.end(), [&](const auto& one) { return one.device == device; });
  const bool known = at != holders.end() && at->generation == generation && tokens <= 1.25 * at->tokens &&
                     tokens >= 0.75 * at->tokens;
  if (at == holders.end()) {
    // The one seen longest ago makes room.
    if (holders.size() < devices_of_key)
      at = holders.insert(holders.end(), Holder{});
    else
      at = std::min_element(holders.begin(), holders.end(), [](auto& a, auto& b) { return a.seen < b.seen; });
  }
  const bool longest_here = at->device == device && at->generation == generation && at->tokens > tokens;
  *at = {device, generation, longest_here ? at->tokens : tokens, 255, now};
  std::sort(holders.begin(), holders.end(), [](auto& a, auto& b) { return a.seen > b.seen; });
  if (!known)
    changed(key, entry);
}

void DeviceTier::found(KeyId key, NameId device, std::uint32_t tokens, Micros) {
  const auto at = entries_.find(key);
  if (at == entries_.end())
    return;
  auto& holders = at->second.holders;
  const auto gone = std::remove_if(holders.begin(), holders.end(), [&](const Holder& one) {
    return one.device == device && tokens < one.tokens / 2;
  });
  if (gone == holders.end())
    return;
  holders.erase(gone, holders.end());
  changed(key, at->second);
}

const Holder* DeviceTier::find(KeyId key, NameId device) const {
  const auto at = entries_.find(key);
  if (at == entries_.end())
    return nullptr;
  for (const auto& one : at->second.holders)
    if (one.device == device)
      return &one;
  return nullptr;
}

void DeviceTier::changed(KeyId key, Entry& entry) {
  entry.again = news_again;
  if (entry.waiting)
    return;
  // Keys may come faster than the budget lets them go: then the oldest wait for the sweep, as if said long
  // ago.
  if (line_.size() >= 2 * limits_.device_keys) {
    const auto first = entries_.find(line_.front());
    if (first != entries_.end())
      first->second.waiting = false;
    line_.pop_front();
  }
  line_.push_back(key);
  entry.waiting = true;
}

void DeviceTier::expire(const std::function<bool(NameId, const Generation&)>& holds, Micros now) {
  if (now - halved_ >= limits_.fade) {
    heavy_.halve();
    halved_ = now;
  }
  // A sixteenth of the worth is left after four half-lives: no hint for anybody.
  const auto before = now - 4 * limits_.fade;
  for (auto at = entries_.begin(); at != entries_.end();) {
    auto& [key, entry] = *at;
    const auto count = entry.holders.size();
    std::erase_if(entry.holders,
                  [&](const Holder& one) { return one.seen < before || !holds(one.device, one.generation); });
    if (entry.holders.size() != count)
      changed(key, entry);
    // Taken back, and that was said: nothing is left to keep.
    if (entry.holders.empty() && !entry.waiting && entry.again == 0) {
      heavy_.erase(key);
      at = entries_.erase(at);
    } else {
      ++at;
    }
  }
}

std::vector<KeyId> DeviceTier::due(Micros now, std::size_t most) {
  std::vector<KeyId> keys;
  const auto take = [&](KeyId key, Entry& entry) {
    entry.waiting = false;
    entry.told = now;
    keys.push_back(key);
  };
  while (!line_.empty() && keys.size() < most) {
    const auto at = entries_.find(line_.front());
    if (at != entries_.end() && at->second.waiting)
      take(at->first, at->second);
    line_.pop_front();
  }
  if (keys.size() == most || now - swept_ < news_every / 2)
    return keys;
  swept_ = now;
  for (auto& [key, entry] : entries_) {
    if (keys.size() >= most)
      break;
    if (entry.waiting || now - entry.told < (entry.again ? news_every : limits_.repeat))
      continue;
    if (entry.again)
      --entry.again;
    take(key, entry);
  }
  return keys;
}

void DeviceTier::again(const std::function<bool(KeyId)>& which) {
  for (auto& [key, entry] : entries_)
    if (which(key))
      changed(key, entry);
}

const std::vector<Holder>& DeviceTier::holders(KeyId key) const {
  static const std::vector<Holder> none;
  const auto at = entries_.find(key);
  return at == entries_.end() ? none : at->second.holders;
}

std::uint8_t DeviceTier::weight(KeyId key) const {
  return weight_of(heavy_.count(key));
}

}  // namespace lemonroute::tiers
