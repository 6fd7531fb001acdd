#include "tiers/generation/generation.h"

#include <algorithm>

namespace lemonroute::tiers {

namespace {
constexpr std::uint64_t lane_most = 0xffff;
std::uint64_t lane(std::uint64_t lanes, unsigned i) {
  return lanes >> (16 * i) & lane_most;
}
}  // namespace

Generation join(const Generation& a, const Generation& b) {
  if (a.start != b.start)
    return a.start > b.start ? a : b;
  Generation both{a.start, 0};
  for (unsigned i = 0; i < 4; ++i)
    both.lanes |= std::max(lane(a.lanes, i), lane(b.lanes, i)) << (16 * i);
  return both;
}

Generation lose(Generation generation, unsigned at) {
  at %= 4;
  if (lane(generation.lanes, at) < lane_most)
    generation.lanes += std::uint64_t{1} << (16 * at);
  return generation;
}

}  // namespace lemonroute::tiers
