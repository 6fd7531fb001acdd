#include "tiers/merge/choose.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lemonroute::tiers {

double faded(std::uint8_t confidence, Micros seen, Micros now, Micros fade) {
  const double age =
      std::max(0.0, std::chrono::duration<double>(now - seen) / std::chrono::duration<double>(fade));
  return confidence / 255.0 * std::exp2(-age);
}

std::vector<Shown> choose(const Row& row, const std::vector<Shown>& before, const Believed& believed) {
  using Claim = std::pair<std::uint32_t, NameId>;  // tokens, and who says so
  struct Device {
    double support = 0;
    Shown shown;
    std::vector<Claim> claims;
  };
  std::map<NameId, Device> devices;
  for (const auto& entry : row.entries()) {
    const double trust = believed.trust(entry.contributor);
    if (trust <= 0)
      continue;
    for (const auto& holder : entry.vote.holders) {
      if (!believed.holds(holder.device, holder.generation))
        continue;
      auto& device = devices[holder.device];
      device.support += trust * faded(holder.confidence, holder.seen, believed.now, believed.fade);
      device.claims.push_back({holder.tokens, entry.contributor});
      auto& shown = device.shown;
      if (device.claims.size() == 1)
        shown = {holder.device, holder.generation, 0, holder.confidence, holder.seen, 0, 0};
      else if (holder.seen > shown.seen)
        shown.seen = holder.seen, shown.confidence = holder.confidence;
    }
  }
  std::vector<std::pair<double, Shown>> order;
  for (auto& [name, device] : devices) {
    std::sort(device.claims.begin(), device.claims.end(), std::greater<>());
    const auto& claim = device.claims[device.claims.size() > 1 ? 1 : 0];
    device.shown.tokens = claim.first;
    device.shown.by = claim.second;
    device.shown.votes = static_cast<std::uint8_t>(device.claims.size());
    const bool stays = std::any_of(before.begin(), before.end(),
                                   [&, device = name](const auto& one) { return one.device == device; });
    order.emplace_back(device.support * (stays ? 1.5 : 1) * std::sqrt(1.0 + claim.first), device.shown);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second.device < b.second.device;
  });
  if (order.size() > holders_bound)
    order.resize(holders_bound);
  std::vector<Shown> chosen;
  chosen.reserve(order.size());
  for (auto& [score, shown] : order)
    chosen.push_back(shown);
  return chosen;
}

bool differs(const std::vector<Shown>& a, const std::vector<Shown>& b) {
  if (a.size() != b.size())
    return true;
  for (const auto& x : a) {
    const auto y = std::find_if(b.begin(), b.end(), [&](const auto& one) { return one.device == x.device; });
    if (y == b.end() || !(y->generation == x.generation))
      return true;
    if (std::abs(double(x.tokens) - y->tokens) > 0.25 * std::max(x.tokens, y->tokens))
      return true;
  }
  return false;
}

}  // namespace lemonroute::tiers
