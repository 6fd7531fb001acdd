#include "tiers/epoch/epoch_gossip.h"

#include <algorithm>

namespace lemonroute::tiers {

std::vector<NameId> EpochGossip::take_round(std::size_t max_count) {
  std::vector<std::pair<unsigned, NameId>> order;
  for (const auto& [device, left] : rounds_left_)
    order.emplace_back(max_rounds - left, device);
  std::sort(order.begin(), order.end());
  if (order.size() > max_count)
    order.resize(max_count);
  std::vector<NameId> devices;
  for (const auto& [sent, device] : order) {
    devices.push_back(device);
    if (--rounds_left_[device] == 0)
      rounds_left_.erase(device);
  }
  return devices;
}

void EpochGossip::record_duplicate(NameId device) {
  const auto at = rounds_left_.find(device);
  if (at != rounds_left_.end() && at->second < max_rounds && --at->second == 0)
    rounds_left_.erase(at);
}

std::vector<std::string> EpochGossip::draw_members(const std::vector<std::string>& members,
                                                   std::string_view excluded, std::size_t max_count) {
  std::vector<std::string> drawn;
  // Few of many members are drawn, so retrying a duplicate is cheaper than shuffling all members.
  for (std::size_t tries = 0; drawn.size() < max_count && tries < 4 * max_count && !members.empty();
       ++tries) {
    const auto& member = members[random_() % members.size()];
    if (member != excluded && std::find(drawn.begin(), drawn.end(), member) == drawn.end())
      drawn.push_back(member);
  }
  return drawn;
}

}  // namespace lemonroute::tiers
