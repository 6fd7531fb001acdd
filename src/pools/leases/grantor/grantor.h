// The state of one grantor: to which region it has granted each pool of its own region. Does no I/O; callers
// pass the time on the steady clock of the process.
//
// Mutual exclusion rests on this class and on LeaseHolder alone: a grantor never has grants to two regions at
// the same time, and a lease holder counts only grants that outlast its lease. Two quorums share a grantor,
// so two regions never hold a lease of one pool at the same time. Ballots only make the grantors agree on the
// next owner.
#pragma once

#include <map>
#include <vector>

#include "pools/leases/ballot.h"
#include "pools/leases/terms.h"
#include "pools/names.h"

namespace lemonroute::pools {

/// One voter of the quorum that grants the pools of a region.
class Grantor {
 public:
  /// `home`: the region whose pools it grants.
  Grantor(LeaseTerms terms, RegionId home) : terms_(terms), home_(home) {}

  /// Starts without memory. The grantor abstains until every grant that it may have given before has expired.
  void start(Micros now);
  /// Whether the grantor grants nothing yet.
  bool abstains(Micros now) const { return now < abstains_until_; }

  /// Answer to a request.
  struct Answer {
    Ownership ownership;            ///< the newest ballot known and its owner
    bool granted = false;           ///< granted to the requesting region from now on
    bool granted_to_owner = false;  ///< the owner has a grant now
  };
  /// Handles a request of a router of `region`. `now` must be read after the request has arrived: with an
  /// older time, as after the process was suspended in between, the grant would end before the lease that the
  /// requester derives from it.
  Answer request(const PoolName& pool, RegionId region, const Ownership& known, Micros now);
  /// Merges a proposal, or other knowledge of a pool. A newer ballot applies at once: its owner is granted
  /// the pool as soon as no other region has a grant.
  void learn(const PoolName& pool, const Ownership& known);

  /// Number of pools that it has state of.
  std::size_t size() const { return pools_.size(); }

 private:
  struct Grant {
    RegionId region;
    Micros expires_at;
  };
  struct Pool {
    Ownership ownership;
    std::vector<Grant> grants;  // one per region
  };
  Pool* find_or_add(const PoolName& name);  // null: `max_pools` is reached
  LeaseTerms terms_;
  RegionId home_;
  Micros abstains_until_ = Micros::max();
  std::map<PoolName, Pool> pools_;
};

}  // namespace lemonroute::pools
