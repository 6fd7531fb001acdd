// One keeper's memory of the pools of its region: whom it has promised them to. Free of I/O, told the time on
// the steady clock of its process.
//
// All that safety rests on is here and in the holder: a keeper never has promises out to two regions at once,
// and a holder counts only promises that outlast its right. Two majorities share a keeper, so two regions
// never hold a right to one pool at the same time. Ballots only make keepers agree on whose turn it is.
#pragma once

#include <map>
#include <vector>

#include "pools/names.h"
#include "pools/rights/ballot.h"
#include "pools/rights/terms.h"

namespace lemonroute::pools {

class Keeper {
 public:
  Keeper(Terms terms, RegionId home) : terms_(terms), home_(home) {}

  // It begins without memory, and so abstains until whatever it may have promised before has run out.
  void start(Micros now);
  bool abstains(Micros now) const { return now < abstains_until_; }

  struct Answer {
    Owned owned;
    bool ok = false;      // promised to the asker's region from now on
    bool active = false;  // promised to the owner, at this moment
  };
  // Danger: `now` must be read after the question has arrived. With an older time, as after a process was
  // frozen in between, the promise would end before the right that the asker derives from it.
  Answer ask(const PoolName& pool, RegionId asker, const Owned& known, Micros now);
  // A proposal, or what else is known of a pool. A newer ballot holds at once: its owner is promised the pool
  // as soon as no promise to another region is out.
  void learn(const PoolName& pool, const Owned& known);

  std::size_t size() const { return pools_.size(); }

 private:
  struct Promise {
    RegionId to;
    Micros until;
  };
  struct Pool {
    Owned owned;
    std::vector<Promise> promises;  // one a region
  };
  Pool* find(const PoolName& name);  // null: there are too many
  Terms terms_;
  RegionId home_;
  Micros abstains_until_ = Micros::max();
  std::map<PoolName, Pool> pools_;
};

}  // namespace lemonroute::pools
