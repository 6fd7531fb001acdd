// Order of probing: each member once in a round, in an order that is shuffled for each round. A member that
// fails is therefore probed by each other member within one round, and by at least one of them within a
// period or two on average.
#pragma once

#include <deque>
#include <vector>

#include "peers/membership/entry.h"
#include "peers/membership/random.h"

namespace lemonroute::peers::membership {

/// Chooses members to probe, to gossip to and to ask for help. Does not own the entries.
class ProbeOrder {
 public:
  /// Inserts at a random position, so that routers do not all probe new members in the same order.
  void add(Entry& entry, Random& random);
  /// Removes an entry; call it before the entry is destroyed.
  void remove(const Entry& entry);
  /// Next live member to probe; null if there is none.
  Entry* next(Random& random);
  /// A random live member, or a random gone one if `standing` is `gone`; null if there is none.
  Entry* random_member(Random& random, Standing standing) const;
  /// Up to `most` random live members without `excluded`, from as many sites as possible: a site that
  /// is cut off cannot judge whether its own members are reachable.
  std::vector<Entry*> random_across_sites(Random& random, const Entry* excluded, std::size_t most) const;
  /// Number of members, live or not.
  std::size_t size() const { return order_.size(); }

 private:
  std::vector<Entry*> order_;
  std::size_t position_ = 0;
};

}  // namespace lemonroute::peers::membership
