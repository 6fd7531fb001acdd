#include "guide/fleet_guide.h"

#include <algorithm>

namespace lemonroute::guide {

Guide::Laid FleetGuide::lay(const Node& node) const {
  Laid all;
  for (const auto& part : parts_) {
    const Laid one = part->lay(node);
    all.away |= one.away;
    all.started = std::max(all.started, one.started);
    all.until = std::min(all.until, one.until);
  }
  return all;
}

std::vector<KeptAt> FleetGuide::kept(Key session, Key shared) const {
  std::vector<KeptAt> all;
  for (const auto& part : parts_)
    for (auto& one : part->kept(session, shared))
      all.push_back(std::move(one));
  return all;
}

Micros FleetGuide::lost(const Node& node) const {
  Micros last{};
  for (const auto& part : parts_)
    last = std::max(last, part->lost(node));
  return last;
}

}  // namespace lemonroute::guide
