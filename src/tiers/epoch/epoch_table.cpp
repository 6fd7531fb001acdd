#include "tiers/epoch/epoch_table.h"

#include <algorithm>

namespace lemonroute::tiers {

using std::chrono::seconds;
namespace {
constexpr Micros duplicate_loss_window = seconds(2), min_invalidation_interval = seconds(10),
                 suspicion_period = std::chrono::minutes(5), startup_period = seconds(5);
constexpr double max_invalidation_burst = 16;
}  // namespace

EpochTable::DeviceState* EpochTable::find_or_add(NameId device, bool listed) {
  if (const auto found = devices_.find(device); found != devices_.end())
    return &found->second;
  if (devices_.size() >= max_devices_) {
    auto displaced = devices_.end();
    if (listed)
      displaced = std::find_if(devices_.begin(), devices_.end(),
                               [](const auto& one) { return !one.second.listed_start; });
    if (displaced == devices_.end()) {
      ++counts_.refused;
      return nullptr;
    }
    digest_ ^= hasher_.mix(displaced->first,
                           hasher_.mix(displaced->second.epoch.start, displaced->second.epoch.loss_counts));
    devices_.erase(displaced);
  }
  digest_ ^= hasher_.mix(device, hasher_.mix(0, 0));
  return &devices_[device];
}

bool EpochTable::advance(NameId device, DeviceState& state, const CacheEpoch& epoch, Micros now) {
  if (epoch == state.epoch)
    return false;
  digest_ ^= hasher_.mix(device, hasher_.mix(state.epoch.start, state.epoch.loss_counts)) ^
             hasher_.mix(device, hasher_.mix(epoch.start, epoch.loss_counts));
  state.epoch = epoch;
  state.advanced_at = now;
  ++counts_.advanced;
  return true;
}

void EpochTable::unlist_all() {
  for (auto& [device, state] : devices_)
    state.listed_start.reset();
}

bool EpochTable::update_listed(NameId device, std::uint64_t start, Micros now) {
  if (!has_updates_)
    first_update_at_ = now, has_updates_ = true;
  auto* state = find_or_add(device, true);
  if (!state)
    return false;
  const bool later = state->listed_start && start > *state->listed_start;
  state->listed_start = start;
  // A lying peer may have reported a start later than the true ones. A restart in the own list must still
  // invalidate all sightings, so it is then counted as a loss.
  if (start <= state->epoch.start)
    return later && start < state->epoch.start &&
           advance(device, *state, after_loss(state->epoch, loss_counter_), now);
  return advance(device, *state, CacheEpoch{start, 0}, now);
}

bool EpochTable::record_loss(NameId device, Micros now) {
  auto* state = find_or_add(device, false);
  if (!state || (state->advanced_at != Micros{} && now - state->advanced_at < duplicate_loss_window))
    return false;
  return advance(device, *state, after_loss(state->epoch, loss_counter_), now);
}

bool EpochTable::merge_report(NameId device, const CacheEpoch& epoch, Micros now) {
  if (!has_updates_)
    first_update_at_ = now, has_updates_ = true;
  auto* state = find_or_add(device, false);
  if (!state)
    return false;
  const bool advanced = advance(device, *state, join(state->epoch, epoch), now);
  // Shortly after its start the router has no estimates to drop, and the epochs it receives are old.
  if (advanced && now - first_update_at_ >= startup_period)
    invalidate(*state, now);
  return advanced;
}

void EpochTable::invalidate(DeviceState& state, Micros now) {
  allowance_ = std::min(max_invalidation_burst,
                        allowance_ + std::chrono::duration<double>(now - refilled_at_).count());
  refilled_at_ = now;
  const bool too_soon =
      state.invalidated_at != Micros{} && now - state.invalidated_at < min_invalidation_interval;
  if (too_soon || allowance_ < 1 || now < suspicious_until_) {
    ++counts_.suppressed_invalidations;
    return;
  }
  allowance_ -= 1;
  state.invalidated_at = now;
  ++counts_.invalidations;
}

const CacheEpoch* EpochTable::find(NameId device) const {
  const auto found = devices_.find(device);
  return found == devices_.end() ? nullptr : &found->second.epoch;
}
bool EpochTable::is_current(NameId device, const CacheEpoch& epoch) const {
  const auto* state = find(device);
  return state && *state == epoch;
}
Micros EpochTable::invalidated_at(NameId device) const {
  const auto found = devices_.find(device);
  return found == devices_.end() ? Micros{} : found->second.invalidated_at;
}
bool EpochTable::recently_invalidated(NameId device, Micros now) const {
  const auto invalidated = invalidated_at(device);
  return invalidated != Micros{} && now - invalidated < min_invalidation_interval;
}
void EpochTable::record_disproof(NameId, Micros now) {
  ++counts_.disproved;
  if (++disproofs_ < 2)
    return;
  disproofs_ = 0;
  suspicious_until_ = now + suspicion_period;
}

std::vector<std::pair<NameId, CacheEpoch>> EpochTable::slice(NameId& cursor, std::size_t max_count) const {
  std::vector<std::pair<NameId, CacheEpoch>> epochs;
  epochs.reserve(devices_.size());
  for (const auto& [device, state] : devices_)
    epochs.emplace_back(device, state.epoch);
  const auto by_name = [](const auto& a, const auto& b) { return a.first < b.first; };
  std::sort(epochs.begin(), epochs.end(), by_name);
  const auto from = std::upper_bound(epochs.begin(), epochs.end(), std::pair(cursor, CacheEpoch{}), by_name);
  std::rotate(epochs.begin(), from, epochs.end());
  if (epochs.size() > max_count)
    epochs.resize(max_count);
  if (!epochs.empty())
    cursor = epochs.back().first;
  return epochs;
}

}  // namespace lemonroute::tiers
