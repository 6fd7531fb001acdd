// Between two losses of all that is kept at a device lies one generation of it. What was seen in a generation
// that is not the device's own any more is void, at every tier, in the step in which the new generation is
// learnt.
#pragma once

#include <cstdint>

namespace lemonroute::tiers {

// Generations are a join semilattice: the later start first, then the losses noticed since that start,
// counted in four lanes. A loss is counted in the lane of the site that noticed it. So two routers of one
// site that notice the same loss count it once, and two sites that are cut off from each other and notice one
// each make a generation that is later than both.
struct Generation {
  std::uint64_t start = 0;  // as the list tells it, Unix us; 0: long ago
  std::uint64_t lanes = 0;  // four counters of 16 bits
  friend bool operator==(const Generation&, const Generation&) = default;
};

Generation join(const Generation& a, const Generation& b);
Generation lose(Generation generation, unsigned lane);  // one loss more; a full lane stays full
inline bool covers(const Generation& a, const Generation& b) {
  return join(a, b) == a;
}

}  // namespace lemonroute::tiers
