// Between two losses of all that is kept at a device lies one era of it. What was seen in an era that is not
// the device's own any more is void, at every tier, in the step in which the new era is learnt.
#pragma once

#include <cstdint>

namespace lemonroute::tiers {

// Eras are a join semilattice: the later start first, then the losses noticed since that start, counted in
// four lanes. A loss is counted in the lane of the site that noticed it. So two routers of one site that
// notice the same loss count it once, and two sites that are cut off from each other and notice one each make
// an era that is later than both.
struct Era {
  std::uint64_t start = 0;  // as the list tells it, Unix us; 0: long ago
  std::uint64_t lanes = 0;  // four counters of 16 bits
  friend bool operator==(const Era&, const Era&) = default;
};

Era join(const Era& a, const Era& b);
Era lose(Era era, unsigned lane);  // one loss more; a full lane stays full
inline bool covers(const Era& a, const Era& b) {
  return join(a, b) == a;
}

}  // namespace lemonroute::tiers
