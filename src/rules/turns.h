// Whether the regions that send to a pool take turns: a send by another region than the last one begins a
// turn, and each turn needs an ownership, as routers publish it, of a newer epoch than the turn before. So a
// region that sends on after another one has begun is caught, and one that begins without owning the pool is
// too.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "lemonroute/scheduler.h"

namespace lemonroute::rules {

class Turns {
 public:
  struct Turn {
    Micros at{};
    std::string request, node, region;
  };
  using Broken = std::function<void(const Turn& turn, const std::string& what)>;

  void belongs(const std::string& node, const std::string& pool) { pool_of_[node] = pool; }
  // Some router says that the region owns the pool at that epoch. May be told late, repeated and out of
  // order.
  void owns(const std::string& pool, const std::string& region, std::uint64_t epoch) {
    pools_[pool].epochs[region].insert(epoch);
  }
  void sent(const Turn& turn);  // told in the order of time
  // Judges the turns that began up to then: by now what is published of them must have been told.
  void judge(Micros up_to, const Broken& broken);

 private:
  struct Pool {
    std::string sender;                                     // of the last send
    std::string last;                                       // region of the last turn that was judged
    std::uint64_t epoch = 0;                                // of that turn; 0: none was published
    std::deque<Turn> open;                                  // turns not judged yet
    std::map<std::string, std::set<std::uint64_t>> epochs;  // by region, as published
  };
  std::map<std::string, std::string> pool_of_;
  std::map<std::string, Pool> pools_;
};

}  // namespace lemonroute::rules
