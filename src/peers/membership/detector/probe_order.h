// Whom to probe next: each once in a round, in an order that is drawn anew for each. So a member that ends is
// probed by each other one within a round at the latest, and by some other one within a period or two on
// average.
#pragma once

#include <deque>
#include <vector>

#include "peers/membership/entry.h"
#include "peers/membership/random.h"

namespace lemonroute::peers::membership {

class ProbeOrder {
 public:
  void add(Entry& entry,
           Random& random);  // at a place drawn, so that many who join are not probed by all in one order
  void remove(const Entry& entry);
  Entry* next(Random& random);                                // null: nobody is there
  Entry* draw(Random& random, Standing gone_or_there) const;  // anyone who is there, or, if asked for, gone
  // Up to `most` who are there, without `but`, from as many sites as can be: a site cut off is no witness for
  // its own.
  std::vector<Entry*> helpers(Random& random, const Entry* but, std::size_t most) const;
  std::size_t size() const { return order_.size(); }

 private:
  std::vector<Entry*> order_;
  std::size_t at_ = 0;
};

}  // namespace lemonroute::peers::membership
