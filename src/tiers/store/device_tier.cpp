#include "tiers/store/device_tier.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace lemonroute::tiers {

namespace {
constexpr std::size_t max_devices_per_key = 2;
}

std::uint8_t weight_of(double tokens) {
  return static_cast<std::uint8_t>(std::clamp(8 * std::log2(1 + std::max(0.0, tokens)), 0.0, 255.0));
}

void DeviceTier::record_cached(KeyId key, NameId device, const CacheEpoch& epoch, std::uint32_t tokens,
                               Micros now) {
  if (tokens == 0)
    return;
  // A key is weighted by the tokens whose prefill it saved or could have saved.
  if (const auto displaced = heavy_hitters_.add(key, tokens)) {
    entries_.erase(*displaced);
    ++evicted_;
  }
  auto& entry = entries_[key];
  auto& holders = entry.holders;
  auto at =
      std::find_if(holders.begin(), holders.end(), [&](const auto& one) { return one.device == device; });
  const bool unchanged =
      at != holders.end() && at->epoch == epoch && tokens <= 1.25 * at->tokens && tokens >= 0.75 * at->tokens;
  if (at == holders.end()) {
    // The holder with the oldest sighting is replaced.
    if (holders.size() < max_devices_per_key)
      at = holders.insert(holders.end(), Holder{});
    else
      at = std::min_element(holders.begin(), holders.end(),
                            [](auto& a, auto& b) { return a.seen_at < b.seen_at; });
  }
  const bool was_longer = at->device == device && at->epoch == epoch && at->tokens > tokens;
  *at = {device, epoch, was_longer ? at->tokens : tokens, 255, now};
  std::sort(holders.begin(), holders.end(), [](auto& a, auto& b) { return a.seen_at > b.seen_at; });
  if (!unchanged)
    mark_changed(key, entry);
}

void DeviceTier::record_hit(KeyId key, NameId device, std::uint32_t tokens, Micros) {
  const auto at = entries_.find(key);
  if (at == entries_.end())
    return;
  auto& holders = at->second.holders;
  const auto removed = std::remove_if(holders.begin(), holders.end(), [&](const Holder& one) {
    return one.device == device && tokens < one.tokens / 2;
  });
  if (removed == holders.end())
    return;
  holders.erase(removed, holders.end());
  mark_changed(key, at->second);
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

void DeviceTier::mark_changed(KeyId key, Entry& entry) {
  entry.repeats_left = change_repeats;
  if (entry.queued)
    return;
  // Keys may arrive faster than the budget allows them to be sent. The oldest then leave the queue and are
  // sent by the periodic sweep.
  if (queue_.size() >= 2 * limits_.device_keys) {
    const auto first = entries_.find(queue_.front());
    if (first != entries_.end())
      first->second.queued = false;
    queue_.pop_front();
  }
  queue_.push_back(key);
  entry.queued = true;
}

void DeviceTier::expire(const std::function<bool(NameId, const CacheEpoch&)>& is_current, Micros now) {
  if (now - halved_at_ >= limits_.confidence_half_life) {
    heavy_hitters_.halve();
    halved_at_ = now;
  }
  // After four half-lives a sixteenth of the confidence is left, too little for a hint.
  const auto oldest = now - 4 * limits_.confidence_half_life;
  for (auto at = entries_.begin(); at != entries_.end();) {
    auto& [key, entry] = *at;
    const auto count = entry.holders.size();
    std::erase_if(entry.holders, [&](const Holder& one) {
      return one.seen_at < oldest || !is_current(one.device, one.epoch);
    });
    if (entry.holders.size() != count)
      mark_changed(key, entry);
    // The withdrawal and its repetitions were sent.
    if (entry.holders.empty() && !entry.queued && entry.repeats_left == 0) {
      heavy_hitters_.erase(key);
      at = entries_.erase(at);
    } else {
      ++at;
    }
  }
}

std::vector<KeyId> DeviceTier::due(Micros now, std::size_t max_count) {
  std::vector<KeyId> keys;
  const auto mark_sent = [&](KeyId key, Entry& entry) {
    entry.queued = false;
    entry.sent_at = now;
    keys.push_back(key);
  };
  while (!queue_.empty() && keys.size() < max_count) {
    const auto at = entries_.find(queue_.front());
    if (at != entries_.end() && at->second.queued)
      mark_sent(at->first, at->second);
    queue_.pop_front();
  }
  if (keys.size() == max_count || now - swept_at_ < change_repeat_interval / 2)
    return keys;
  swept_at_ = now;
  for (auto& [key, entry] : entries_) {
    if (keys.size() >= max_count)
      break;
    if (entry.queued ||
        now - entry.sent_at < (entry.repeats_left ? change_repeat_interval : limits_.refresh_interval))
      continue;
    if (entry.repeats_left)
      --entry.repeats_left;
    mark_sent(key, entry);
  }
  return keys;
}

void DeviceTier::resend(const std::function<bool(KeyId)>& matches) {
  for (auto& [key, entry] : entries_)
    if (matches(key))
      mark_changed(key, entry);
}

const std::vector<Holder>& DeviceTier::holders(KeyId key) const {
  static const std::vector<Holder> none;
  const auto at = entries_.find(key);
  return at == entries_.end() ? none : at->second.holders;
}

std::uint8_t DeviceTier::weight(KeyId key) const {
  return weight_of(heavy_hitters_.count(key));
}

}  // namespace lemonroute::tiers
