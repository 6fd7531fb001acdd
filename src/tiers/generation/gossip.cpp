#include "tiers/generation/gossip.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<NameId> Gossip::take(std::size_t most) {
  std::vector<std::pair<unsigned, NameId>> order;
  for (const auto& [device, left] : rounds_)
    order.emplace_back(rounds - left, device);
  std::sort(order.begin(), order.end());
  if (order.size() > most)
    order.resize(most);
  std::vector<NameId> devices;
  for (const auto& [told, device] : order) {
    devices.push_back(device);
    if (--rounds_[device] == 0)
      rounds_.erase(device);
  }
  return devices;
}

void Gossip::heard(NameId device) {
  const auto at = rounds_.find(device);
  if (at != rounds_.end() && at->second < rounds && --at->second == 0)
    rounds_.erase(at);
}

std::vector<std::string> Gossip::draw(const std::vector<std::string>& members, std::string_view but,
                                      std::size_t most) {
  std::vector<std::string> drawn;
  // Few out of many: drawing again on a repeat is cheaper than shuffling all.
  for (std::size_t tries = 0; drawn.size() < most && tries < 4 * most && !members.empty(); ++tries) {
    const auto& one = members[random_() % members.size()];
    if (one != but && std::find(drawn.begin(), drawn.end(), one) == drawn.end())
      drawn.push_back(one);
  }
  return drawn;
}

}  // namespace lemonroute::tiers
