#include "pools/leases/grantor/grantor.h"

#include <algorithm>

namespace lemonroute::pools {

void Grantor::start(Micros now) {
  pools_.clear();
  abstains_until_ = now + terms_.abstention();
}

Grantor::Pool* Grantor::find_or_add(const PoolName& name) {
  const auto found = pools_.find(name);
  if (found != pools_.end())
    return &found->second;
  if (pools_.size() >= max_pools)
    return nullptr;
  Pool added;
  added.ownership.owner = home_;
  return &pools_.emplace(name, added).first->second;
}

void Grantor::learn(const PoolName& name, const Ownership& known) {
  if (Pool* pool = find_or_add(name))
    pool->ownership.learn(known);
}

Grantor::Answer Grantor::request(const PoolName& name, RegionId region, const Ownership& known, Micros now) {
  Pool* pool = find_or_add(name);
  if (!pool)
    return {known, false, false};
  pool->ownership.learn(known);
  std::erase_if(pool->grants, [now](const Grant& grant) { return grant.expires_at <= now; });
  auto& grants = pool->grants;
  const bool granted_elsewhere =
      std::any_of(grants.begin(), grants.end(), [&](auto& grant) { return grant.region != region; });
  Answer answer;
  answer.granted = !abstains(now) && pool->ownership.owner == region && !granted_elsewhere;
  if (answer.granted) {
    const Micros expires_at = now + terms_.grant_duration();
    if (grants.empty())
      grants.push_back({region, expires_at});
    else
      grants.front().expires_at = std::max(grants.front().expires_at, expires_at);
    if (pool->ownership.granted_at == Micros(0) && pool->ownership.ballot.counter > 0)
      pool->ownership.granted_at = now;
  }
  answer.ownership = pool->ownership;
  answer.granted_to_owner = std::any_of(grants.begin(), grants.end(),
                                        [&](auto& grant) { return grant.region == pool->ownership.owner; });
  return answer;
}

}  // namespace lemonroute::pools
