// Which node is asked next to let a state go, and how soon the one after it.
#include <algorithm>
#include <tuple>

#include "core/router/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t release_round = 4;                     // of so many calls one asks the holder
constexpr Micros last_step = std::chrono::milliseconds(40);  // once the process ends
constexpr Micros::rep most_open = 3;                         // calls under way for one state
constexpr Micros::rep steps = 8;                             // calls that start within the settings' time
constexpr Micros::rep others_told_for = 8;  // of the settings' times, once one of them has taken the call
constexpr Micros usual_time = seconds(1);   // where the settings give none
constexpr Micros least_time = milliseconds(160);  // for that many calls
constexpr Micros longest_step = seconds(1);
constexpr Micros answered_lately = seconds(1);

}  // namespace

Micros Router::release_timeout() const {
  return settings_.reservation_release_timeout > Micros(0) ? settings_.reservation_release_timeout
                                                           : usual_time;
}

// From when on a state that nothing is known to have taken is let go of: half of its time is left to the
// calls.
Micros Router::release_due_at(Micros state_waits) const {
  return state_waits + release_timeout() / 2;
}

// What a node that is reached needs at most, while there is time to ask others.
Micros Router::release_call_timeout() const {
  return release_timeout() * most_open / steps;
}

// So many calls start within the settings' time, sooner after one to a holder that has failed last. Once that
// time is over, or only a holder that hangs has still to be told, they become slower.
Micros Router::release_retry_interval(const PendingRelease& released) const {
  // A process that ends has little time left: more nodes are asked, each for less long.
  if (shutdown_deadline_ && clock_.now() >= *shutdown_deadline_)
    return std::min(release_timeout() / steps, last_step);
  const Micros step = std::clamp(released.due_at - released.since, least_time, release_timeout()) / steps;
  if (released.arrived)
    return std::min(release_timeout() / (notifies_other_nodes(released) ? 4 : 2), longest_step);
  if (released.tries <= 1 && suspected(released.holders.front().endpoint))
    return step / 2;
  const auto times = (clock_.now() - released.since) / release_timeout();
  return std::min(step * (1 + times), std::max(step, longest_step));
}

// A holder that hangs may go on for a moment and be cut off again, with its read ended: so for a while the
// others go on being told in turn with it.
bool Router::notifies_other_nodes(const PendingRelease& released) const {
  return clock_.now() - released.since < release_timeout() * others_told_for;
}

bool Router::suspected(EndpointId host) const {
  const auto found = last_contact_.find(host);
  return found != last_contact_.end() && found->second.last_failure > Micros(0) &&
         found->second.last_failure >= found->second.last_answer;
}

bool Router::has_answered_since(EndpointId host, Micros since) const {
  const auto found = last_contact_.find(host);
  return found != last_contact_.end() && found->second.last_answer >= since && !suspected(host);
}

// The holder first, and at every fourth call again; in between the other nodes, each of which takes the call
// as well. Guards against a holder that is lost and listed still: asked at every second call, it took up all
// of the time there is to have its state let go. Once any node has taken the call, only holders where a read
// may still end are asked.
const Node* Router::next_release_target(const PendingRelease& released) const {
  const Node* holder = holder_target(released);
  if (released.arrived && holder && (released.tries % 2 == 0 || !notifies_other_nodes(released)))
    return holder;
  if (!released.arrived && holder && released.tries % release_round == 0)
    return holder;
  const Node* other = other_target(released);
  return other ? other : holder;
}

const Node* Router::holder_target(const PendingRelease& released) const {
  const Node* best = nullptr;
  std::size_t least = 0;
  for (const ReservationHolder& holder : released.holders) {
    const auto node = known_nodes_.find(holder.endpoint);
    if (node == known_nodes_.end())
      continue;
    const auto asked = released.calls_by_endpoint.find(holder.endpoint);
    const std::size_t times = asked == released.calls_by_endpoint.end() ? 0 : asked->second;
    if (best && times >= least)
      continue;
    best = &node->second;
    least = times;
  }
  return best;
}

// Whom this release has asked least often; among them whoever answered lately before whoever nothing is known
// of, and that one before whoever failed last. The role that the holder does not have comes first, then in
// turn: many nodes of one role may fall silent together. The id parts requests, so that not all of them ask
// the same node.
const Node* Router::other_target(const PendingRelease& released) const {
  const Micros now = clock_.now();
  const Role holders = role_of(released.holders.front().endpoint);
  const auto is_holder = [&](EndpointId id) {
    return std::any_of(released.holders.begin(), released.holders.end(),
                       [&](const auto& one) { return one.endpoint == id; });
  };
  const auto rank = [&](EndpointId id) {
    const auto found = last_contact_.find(id);
    if (suspected(id))
      return 2;
    return found != last_contact_.end() && now - found->second.last_answer <= answered_lately ? 0 : 1;
  };
  const bool same_role = released.tries % 2 == 0;
  const Node* best = nullptr;
  std::tuple<std::size_t, int, bool, std::uint64_t> least;
  for (const auto& [id, node] : known_nodes_) {
    if (!node.ready() || is_holder(id))
      continue;
    const auto asked = released.calls_by_endpoint.find(id);
    const std::size_t times = asked == released.calls_by_endpoint.end() ? 0 : asked->second;
    const std::uint64_t spread = (released.request ^ id) * 0x9E3779B97F4A7C15u;
    const std::tuple weighed{times, rank(id), (role_of(id) == holders) != same_role, spread};
    if (best && weighed >= least)
      continue;
    best = &node;
    least = weighed;
  }
  return best;
}

}  // namespace lemonroute
