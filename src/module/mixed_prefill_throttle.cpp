#include "module/mixed_prefill_throttle.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "estimation/conversions.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// Part of a mixed node's time that prefills may use. The rest is left to its streams.
constexpr double max_prefill_share = 0.75;

}  // namespace

// Returns the prefill work that this router sends to all mixed nodes, in microseconds of work per
// microsecond.
double MixedPrefillThrottle::prefill_share() const {
  const double memory = to_microseconds(context_.memory_duration());
  const double age = to_microseconds(context_.now() - total_updated_at_);
  return total_work_ * std::exp(-age / memory) / memory;
}

// Returns the share of one mixed node's time that this router may use. Routers do not exchange their use, so
// each other router is assumed to prefill as much at mixed nodes as this one.
double MixedPrefillThrottle::own_share_of_node() const {
  const std::uint32_t router_count = context_.settings().router_count;
  const double mixed_nodes = std::max(1.0, nodes_.ready_nodes(Role::mixed));
  const double used_by_others = (router_count - 1) * prefill_share() / mixed_nodes;
  return std::max(max_prefill_share / router_count, max_prefill_share - used_by_others);
}

double MixedPrefillThrottle::wait(const Node& node) const {
  const double elapsed = to_microseconds(context_.now() - node.mixed_prefill.updated_at_);
  return std::max(0.0, node.mixed_prefill.work_ / own_share_of_node() - elapsed);
}

void MixedPrefillThrottle::charge(Node& node, double work) {
  node.mixed_prefill.work_ = wait(node) * own_share_of_node() + work;
  node.mixed_prefill.updated_at_ = context_.now();
  total_work_ = prefill_share() * to_microseconds(context_.memory_duration()) + work;
  total_updated_at_ = context_.now();
}

}  // namespace lemonroute::decisions
