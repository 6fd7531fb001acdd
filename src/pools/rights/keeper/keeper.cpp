#include "pools/rights/keeper/keeper.h"

#include <algorithm>

namespace lemonroute::pools {

void Keeper::start(Micros now) {
  pools_.clear();
  abstains_until_ = now + terms_.abstained();
}

Keeper::Pool* Keeper::find(const PoolName& name) {
  const auto at = pools_.find(name);
  if (at != pools_.end())
    return &at->second;
  if (pools_.size() >= most_pools)
    return nullptr;
  Pool fresh;
  fresh.owned.owner = home_;
  return &pools_.emplace(name, fresh).first->second;
}

void Keeper::learn(const PoolName& name, const Owned& known) {
  if (Pool* pool = find(name))
    pool->owned.learn(known);
}

Keeper::Answer Keeper::ask(const PoolName& name, RegionId asker, const Owned& known, Micros now) {
  Pool* pool = find(name);
  if (!pool)
    return {known, false, false};
  pool->owned.learn(known);
  std::erase_if(pool->promises, [now](const Promise& promise) { return promise.until <= now; });
  auto& promises = pool->promises;
  const bool others =
      std::any_of(promises.begin(), promises.end(), [&](auto& promise) { return promise.to != asker; });
  Answer answer;
  answer.ok = !abstains(now) && pool->owned.owner == asker && !others;
  if (answer.ok) {
    const Micros until = now + terms_.promised();
    if (promises.empty())
      promises.push_back({asker, until});
    else
      promises.front().until = std::max(promises.front().until, until);
    if (pool->owned.since == Micros(0) && pool->owned.ballot.counter > 0)
      pool->owned.since = now;
  }
  answer.owned = pool->owned;
  answer.active =
      std::any_of(promises.begin(), promises.end(), [&](auto& p) { return p.to == pool->owned.owner; });
  return answer;
}

}  // namespace lemonroute::pools
