#include "rules/turns.h"

#include <utility>

namespace lemonroute::rules {

void Turns::sent(const Turn& turn) {
  const auto at = pool_of_.find(turn.node);
  if (at == pool_of_.end() || turn.region.empty())
    return;
  Pool& pool = pools_[at->second];
  if (std::exchange(pool.sender, turn.region) != turn.region)
    pool.open.push_back(turn);
}

void Turns::judge(Micros up_to, const Broken& broken) {
  for (auto& [name, pool] : pools_)
    for (; !pool.open.empty() && pool.open.front().at <= up_to; pool.open.pop_front()) {
      const Turn& turn = pool.open.front();
      const auto& epochs = pool.epochs[turn.region];
      const auto epoch = epochs.upper_bound(pool.epoch);
      if (epoch != epochs.end())
        pool.epoch = *epoch;
      else if (pool.last.empty())
        broken(turn,
               "region " + turn.region + " sends to pool " + name + ", and nobody says that it owns it");
      else
        broken(turn, "region " + turn.region + " sends to pool " + name + " after region " + pool.last +
                         " did, and nobody says that it has come to own it since");
      pool.last = turn.region;
    }
}

}  // namespace lemonroute::rules
