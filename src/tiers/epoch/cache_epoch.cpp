#include "tiers/epoch/cache_epoch.h"

#include <algorithm>

namespace lemonroute::tiers {

namespace {
constexpr std::uint64_t max_loss_count = 0xffff;
std::uint64_t loss_count(std::uint64_t lanes, unsigned i) {
  return lanes >> (16 * i) & max_loss_count;
}
}  // namespace

CacheEpoch join(const CacheEpoch& a, const CacheEpoch& b) {
  if (a.start != b.start)
    return a.start > b.start ? a : b;
  CacheEpoch joined{a.start, 0};
  for (unsigned i = 0; i < 4; ++i)
    joined.loss_counts |= std::max(loss_count(a.loss_counts, i), loss_count(b.loss_counts, i)) << (16 * i);
  return joined;
}

CacheEpoch after_loss(CacheEpoch epoch, unsigned counter) {
  counter %= 4;
  if (loss_count(epoch.loss_counts, counter) < max_loss_count)
    epoch.loss_counts += std::uint64_t{1} << (16 * counter);
  return epoch;
}

}  // namespace lemonroute::tiers
