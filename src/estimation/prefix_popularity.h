// How popular each shared beginning of prompts is, as one router can tell that sees a few requests of very
// many. No I/O, no clock; bounded by the number of arrivals that are kept in mind.
#pragma once

#include <unordered_map>

#include "lemonroute/types.h"

namespace lemonroute::estimation {

class PrefixPopularity {
 public:
  void record_arrival(Key opening);  // a request has come; 0: it shares no beginning
  // Its estimated part of all arrivals, above 0 and at most 1. What was counted stands for itself; in place
  // of the arrivals that are missing for a good estimate stands the usual part of a request's own opening,
  // which is the chance that two requests begin alike. The request that asks is not counted, so `count` comes
  // first.
  double share(Key opening) const;
  double arrivals(Key opening) const { return share(opening) * all_; }  // of it, by that estimate
  // The chance that two requests begin alike, over all of them.
  double usual_share() const;
  std::size_t tracked_prefixes() const { return counts_.size(); }  // openings in mind, at most `most`

  static constexpr double max_arrivals = 500;  // arrivals in mind; past it each counts half

 private:
  std::unordered_map<Key, double> counts_;
  double all_ = 0, pairs_ = 0;  // pairs of arrivals that begin alike, each counted twice
};

}  // namespace lemonroute::estimation
