#include "core/router/release_targets.h"

#include <cstdint>
#include <tuple>

namespace lemonroute {

namespace {

constexpr std::size_t calls_per_round = 4;                 // one of so many calls goes to a holder
constexpr Micros recent_answer = std::chrono::seconds(1);  // an answer so long ago shows that the node is up
constexpr std::uint64_t spread_multiplier = 0x9E3779B97F4A7C15u;  // 2^64 over the golden ratio

// What other nodes are compared by, in the order of importance; the lowest is called.
struct TargetRank {
  std::size_t calls = 0;       // calls of this release to the node
  int contact = 0;             // 0: has answered lately, 1: unknown, 2: failed at the last contact
  bool unwanted_role = false;  // its role is not the one whose turn it is
  std::uint64_t spread = 0;    // differs by request, so that not all requests call the same node

  friend bool operator<(const TargetRank& left, const TargetRank& right) {
    return std::tie(left.calls, left.contact, left.unwanted_role, left.spread) <
           std::tie(right.calls, right.contact, right.unwanted_role, right.spread);
  }
};

}  // namespace

ReleaseTargets::ReleaseTargets(const RouterContext& context, const NodeRegistry& nodes,
                               const ReleaseSchedule& schedule)
    : context_(context), nodes_(nodes), schedule_(schedule) {}

// The first call goes to a holder, and every fourth call after it: a holder that is lost but still listed
// would take up most of the time in which the reservation has to be released if it got every second call.
// Once a node has acknowledged the release, only holders whose prefill may still complete are left to be
// told.
const Node* ReleaseTargets::next_target(const PendingRelease& pending) const {
  const Node* holder = holder_target(pending);
  const bool holder_only = pending.tries % 2 == 0 || !schedule_.notifies_other_nodes(pending);
  if (pending.arrived && holder && holder_only)
    return holder;
  if (!pending.arrived && holder && pending.tries % calls_per_round == 0)
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
  if (nodes_.suspected(endpoint))
    return 2;
  const auto last_answer = nodes_.last_answer(endpoint);
  return last_answer && context_.now() - *last_answer <= recent_answer ? 0 : 1;
}

// The role that the holder does not have comes first, then the roles take turns: all nodes of one role may
// fall silent together.
const Node* ReleaseTargets::other_target(const PendingRelease& pending) const {
  const Role holder_role = nodes_.role_of(pending.holders.front().endpoint);
  const bool wants_holder_role = pending.tries % 2 == 0;
  const Node* best = nullptr;
  TargetRank lowest;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.ready() || pending.is_held_at(id))
      continue;
    const bool has_holder_role = nodes_.role_of(id) == holder_role;
    const TargetRank rank{pending.calls_to(id), contact_rank(id), has_holder_role != wants_holder_role,
                          (pending.request ^ id) * spread_multiplier};
    if (best && !(rank < lowest))
      continue;
    best = &node;
    lowest = rank;
  }
  return best;
}

}  // namespace lemonroute
