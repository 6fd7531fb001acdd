#include "core/router/release_targets.h"

#include <cstdint>
#include <tuple>

namespace lemonroute {

namespace {

constexpr std::size_t holder_call_period = 4;  // one call in this many goes to a holder
// A node whose last answer is not older is assumed to be up.
constexpr Micros max_recent_answer_age = std::chrono::seconds(1);
constexpr std::uint64_t golden_ratio_multiplier = 0x9E3779B97F4A7C15u;  // 2^64 divided by the golden ratio

// The rank of a node that is not a holder. Fields are in the order of comparison; the lowest rank is called.
struct TargetRank {
  std::size_t calls = 0;          // calls of this release to the node
  int contact = 0;                // 0: answered recently, 1: unknown, 2: the last contact was a failure
  bool unpreferred_role = false;  // the node does not have the role that is preferred for this call
  std::uint64_t tie_breaker = 0;  // depends on the request, so that not all requests call the same node

  friend bool operator<(const TargetRank& left, const TargetRank& right) {
    return std::tie(left.calls, left.contact, left.unpreferred_role, left.tie_breaker) <
           std::tie(right.calls, right.contact, right.unpreferred_role, right.tie_breaker);
  }
};

}  // namespace

ReleaseTargets::ReleaseTargets(const RouterContext& context, const NodeRegistry& nodes,
                               const ReleaseSchedule& schedule)
    : context_(context), nodes_(nodes), schedule_(schedule) {}

// The first call and every fourth call after it go to a holder: if a holder that has failed but is still
// listed got every second call, most of the time in which the reservation must be released would be lost on
// it. Once a node has acknowledged the release, only holders whose prefill may still complete remain to be
// called.
const Node* ReleaseTargets::next_target(const PendingRelease& pending) const {
  const Node* holder = holder_target(pending);
  const bool holder_only = pending.calls_made % 2 == 0 || !schedule_.notifies_other_nodes(pending);
  if (pending.acknowledged && holder && holder_only)
    return holder;
  if (!pending.acknowledged && holder && pending.calls_made % holder_call_period == 0)
    return holder;
  const Node* other = other_target(pending);
  return other ? other : holder;
}

const Node* ReleaseTargets::holder_target(const PendingRelease& pending) const {
  const Node* best = nullptr;
  std::size_t fewest_calls = 0;
  for (const ReservationHolder& holder : pending.holders) {
    const Node* node = nodes_.find(holder.endpoint);
    if (!node)
      continue;
    const std::size_t calls = pending.calls_to(holder.endpoint);
    if (best && calls >= fewest_calls)
      continue;
    best = node;
    fewest_calls = calls;
  }
  return best;
}

int ReleaseTargets::contact_rank(EndpointId endpoint) const {
  if (nodes_.failed_at_last_contact(endpoint))
    return 2;
  const auto last_answer = nodes_.last_answer(endpoint);
  return last_answer && context_.now() - *last_answer <= max_recent_answer_age ? 0 : 1;
}

// The preferred role starts with the one that the holder does not have and then alternates, since all nodes
// of one role may become unreachable together.
const Node* ReleaseTargets::other_target(const PendingRelease& pending) const {
  const Role holder_role = nodes_.role_of(pending.holders.front().endpoint);
  const bool prefers_holder_role = pending.calls_made % 2 == 0;
  const Node* best = nullptr;
  TargetRank lowest;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.ready() || pending.is_held_at(id))
      continue;
    const bool has_holder_role = nodes_.role_of(id) == holder_role;
    const TargetRank rank{pending.calls_to(id), contact_rank(id), has_holder_role != prefers_holder_role,
                          (pending.request ^ id) * golden_ratio_multiplier};
    if (best && !(rank < lowest))
      continue;
    best = &node;
    lowest = rank;
  }
  return best;
}

}  // namespace lemonroute
