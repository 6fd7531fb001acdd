// What a head of a site's shards says to the region: the heaviest of its keys, and only such as are worth a
// crossing and were seen by two routers.
#pragma once

#include "tiers/share/level.h"

namespace lemonroute::tiers {

class Uplift {
 public:
  void again(const std::vector<std::size_t>& of);  // their collectors have changed
  void run(Micros now, const Options& options, NameId me, const Level& site, Level& region, Budget& budget,
           peers::Outbox& out);
  std::size_t size() const { return said_.size(); }

 private:
  struct Said {
    Line line;
    Micros at{};
  };
  std::map<KeyId, Said> said_;
};

}  // namespace lemonroute::tiers
