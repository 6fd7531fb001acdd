#include "tiers/generation/generations.h"

#include <algorithm>

namespace lemonroute::tiers {

using std::chrono::seconds;
namespace {
constexpr Micros same_loss = seconds(2), void_every = seconds(10), doubt = std::chrono::minutes(5),
                 settling = seconds(5);
constexpr double burst = 16;
}  // namespace

Generations::Known* Generations::place(NameId device, bool listed) {
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
    digest_ ^=
        names_.mix(away->first, names_.mix(away->second.generation.start, away->second.generation.lanes));
    all_.erase(away);
  }
  digest_ ^= names_.mix(device, names_.mix(0, 0));
  return &all_[device];
}

bool Generations::set(NameId device, Known& known, const Generation& generation, Micros now) {
  if (generation == known.generation)
    return false;
  digest_ ^= names_.mix(device, names_.mix(known.generation.start, known.generation.lanes)) ^
             names_.mix(device, names_.mix(generation.start, generation.lanes));
  known.generation = generation;
  known.advanced = now;
  ++counts_.advanced;
  return true;
}

void Generations::unlist_all() {
  for (auto& [device, known] : all_)
    known.listed.reset();
}

bool Generations::listed(NameId device, std::uint64_t start, Micros now) {
  if (!begun_)
    first_ = now, begun_ = true;
  auto* known = place(device, true);
  if (!known)
    return false;
  const bool later = known->listed && start > *known->listed;
  known->listed = start;
  // Danger: a start told by a liar may lie ahead of the true ones. The restart that the own list shows has to
  // void what is known all the same, so it is counted as a loss then.
  if (start <= known->generation.start)
    return later && start < known->generation.start &&
           set(device, *known, lose(known->generation, lane_), now);
  return set(device, *known, Generation{start, 0}, now);
}

bool Generations::lost(NameId device, Micros now) {
  auto* known = place(device, false);
  if (!known || (known->advanced != Micros{} && now - known->advanced < same_loss))
    return false;
  return set(device, *known, lose(known->generation, lane_), now);
}

bool Generations::told(NameId device, const Generation& generation, Micros now) {
  if (!begun_)
    first_ = now, begun_ = true;
  auto* known = place(device, false);
  if (!known)
    return false;
  const bool fresh = set(device, *known, join(known->generation, generation), now);
  // Who has just started has no credit to let fall; what it hears of then is old news.
  if (fresh && now - first_ >= settling)
    void_told(*known, now);
  return fresh;
}

void Generations::void_told(Known& known, Micros now) {
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

const Generation* Generations::find(NameId device) const {
  const auto found = all_.find(device);
  return found == all_.end() ? nullptr : &found->second.generation;
}
bool Generations::holds(NameId device, const Generation& generation) const {
  const auto* known = find(device);
  return known && *known == generation;
}
Micros Generations::void_since(NameId device) const {
  const auto found = all_.find(device);
  return found == all_.end() ? Micros{} : found->second.void_since;
}
bool Generations::void_lately(NameId device, Micros now) const {
  const auto since = void_since(device);
  return since != Micros{} && now - since < void_every;
}
void Generations::disproved(NameId, Micros now) {
  ++counts_.disproved;
  if (++disproofs_ < 2)
    return;
  disproofs_ = 0;
  doubted_until_ = now + doubt;
}

std::vector<std::pair<NameId, Generation>> Generations::slice(NameId& cursor, std::size_t most) const {
  std::vector<std::pair<NameId, Generation>> all;
  all.reserve(all_.size());
  for (const auto& [device, known] : all_)
    all.emplace_back(device, known.generation);
  const auto by_name = [](const auto& a, const auto& b) { return a.first < b.first; };
  std::sort(all.begin(), all.end(), by_name);
  const auto from = std::upper_bound(all.begin(), all.end(), std::pair(cursor, Generation{}), by_name);
  std::rotate(all.begin(), from, all.end());
  if (all.size() > most)
    all.resize(most);
  if (!all.empty())
    cursor = all.back().first;
  return all;
}

}  // namespace lemonroute::tiers
