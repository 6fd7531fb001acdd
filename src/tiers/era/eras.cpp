#include "tiers/era/eras.h"

#include <algorithm>

namespace lemonroute::tiers {

using std::chrono::seconds;
namespace {
constexpr Micros same_loss = seconds(2), void_every = seconds(10), doubt = std::chrono::minutes(5),
                 settling = seconds(5);
constexpr double burst = 16;
}  // namespace

Eras::Known* Eras::place(NameId device, bool listed) {
  if (const auto found = all_.find(device); found != all_.end())
    return &found->second;
  if (all_.size() >= most_) {
    auto away = all_.end();
    if (listed)
      away = std::find_if(all_.begin(), all_.end(), [](const auto& one) { return !one.second.listed; });
    if (away == all_.end()) {
      ++counts_.refused;
      return nullptr;
    }
    digest_ ^= names_.mix(away->first, names_.mix(away->second.era.start, away->second.era.lanes));
    all_.erase(away);
  }
  digest_ ^= names_.mix(device, names_.mix(0, 0));
  return &all_[device];
}

bool Eras::set(NameId device, Known& known, const Era& era, Micros now) {
  if (era == known.era)
    return false;
  digest_ ^= names_.mix(device, names_.mix(known.era.start, known.era.lanes)) ^
             names_.mix(device, names_.mix(era.start, era.lanes));
  known.era = era;
  known.advanced = now;
  ++counts_.advanced;
  return true;
}

void Eras::unlist_all() {
  for (auto& [device, known] : all_)
    known.listed.reset();
}

bool Eras::listed(NameId device, std::uint64_t start, Micros now) {
  if (!begun_)
    first_ = now, begun_ = true;
  auto* known = place(device, true);
  if (!known)
    return false;
  const bool later = known->listed && start > *known->listed;
  known->listed = start;
  // Danger: a start told by a liar may lie ahead of the true ones. The restart that the own list shows has to
  // void what is known all the same, so it is counted as a loss then.
  if (start <= known->era.start)
    return later && start < known->era.start && set(device, *known, lose(known->era, lane_), now);
  return set(device, *known, Era{start, 0}, now);
}

bool Eras::lost(NameId device, Micros now) {
  auto* known = place(device, false);
  if (!known || (known->advanced != Micros{} && now - known->advanced < same_loss))
    return false;
  return set(device, *known, lose(known->era, lane_), now);
}

bool Eras::told(NameId device, const Era& era, Micros now) {
  if (!begun_)
    first_ = now, begun_ = true;
  auto* known = place(device, false);
  if (!known)
    return false;
  const bool fresh = set(device, *known, join(known->era, era), now);
  // Who has just started has no credit to let fall; what it hears of then is old news.
  if (fresh && now - first_ >= settling)
    void_told(*known, now);
  return fresh;
}

void Eras::void_told(Known& known, Micros now) {
  allowance_ = std::min(burst, allowance_ + std::chrono::duration<double>(now - allowed_at_).count());
  allowed_at_ = now;
  const bool soon = known.void_since != Micros{} && now - known.void_since < void_every;
  if (soon || allowance_ < 1 || now < doubted_until_) {
    ++counts_.held_back;
    return;
  }
  allowance_ -= 1;
  known.void_since = now;
  ++counts_.told_voids;
}

const Era* Eras::find(NameId device) const {
  const auto found = all_.find(device);
  return found == all_.end() ? nullptr : &found->second.era;
}
bool Eras::holds(NameId device, const Era& era) const {
  const auto* known = find(device);
  return known && *known == era;
}
Micros Eras::void_since(NameId device) const {
  const auto found = all_.find(device);
  return found == all_.end() ? Micros{} : found->second.void_since;
}
bool Eras::void_lately(NameId device, Micros now) const {
  const auto since = void_since(device);
  return since != Micros{} && now - since < void_every;
}
void Eras::disproved(NameId, Micros now) {
  ++counts_.disproved;
  if (++disproofs_ < 2)
    return;
  disproofs_ = 0;
  doubted_until_ = now + doubt;
}

std::vector<std::pair<NameId, Era>> Eras::slice(NameId& cursor, std::size_t most) const {
  std::vector<std::pair<NameId, Era>> all;
  all.reserve(all_.size());
  for (const auto& [device, known] : all_)
    all.emplace_back(device, known.era);
  const auto by_name = [](const auto& a, const auto& b) { return a.first < b.first; };
  std::sort(all.begin(), all.end(), by_name);
  const auto from = std::upper_bound(all.begin(), all.end(), std::pair(cursor, Era{}), by_name);
  std::rotate(all.begin(), from, all.end());
  if (all.size() > most)
    all.resize(most);
  if (!all.empty())
    cursor = all.back().first;
  return all;
}

}  // namespace lemonroute::tiers
