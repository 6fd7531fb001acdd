#include "held/held_oracle.h"

#include <algorithm>

namespace lemonroute::held {

void HeldOracle::granted(Micros now, const std::string& request, const std::string& node) {
  requests_[request].since[node] = now;
}

void HeldOracle::ended(Micros now, const std::string& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  --found->second.out;
  found->second.last_end = now;
}

void HeldOracle::node_ended(const std::string& node) {
  for (auto& [name, request] : requests_)
    request.since.erase(node);
}

bool HeldOracle::holds(const std::string& request) const {
  const auto found = requests_.find(request);
  return found != requests_.end() && !found->second.since.empty();
}

std::optional<Pinned> HeldOracle::overdue(Micros now) const {
  for (const auto& [name, request] : requests_) {
    if (request.out > 0)
      continue;
    for (const auto& [node, granted] : request.since)
      if (const Micros since = std::max(granted, request.last_end); now > since + allowed_)
        return Pinned{name, node, since, now};
  }
  return std::nullopt;
}

}  // namespace lemonroute::held
