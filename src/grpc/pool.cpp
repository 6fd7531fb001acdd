#include "grpc/pool.h"

#include <algorithm>

namespace lemonroute::grpc {

std::uint32_t Pool::places(const Connection& one) const {
  return one.allows.value_or(limits_.unheard);
}

bool Pool::opens() const {
  return std::any_of(connections_.begin(), connections_.end(), [](auto& one) { return !one.second.up; });
}

// The fullest connection that still has a place takes the call, so that those that are not needed come to
// rest and are retired; spread evenly, all would stay open for ever. One more is opened while the last ones
// fill, not when they are full, since connecting takes a round trip and costs the node work; and one at a
// time, so that a burst to a cold node does not meet it with several handshakes at once. Nothing is opened
// beside a connection that has not proven itself: a node that takes connections and answers nothing is not to
// be given more of them.
Pool::Route Pool::route(Time now, bool may_open) {
  Connection* best = nullptr;
  Id best_id = 0;
  Connection* least = nullptr;  // of those that are full
  Id least_id = 0;
  std::uint64_t taken = 0, all = 0;
  bool proven = false;
  for (auto& [id, one] : connections_) {
    if (!usable(one))
      continue;
    proven |= one.proven;
    taken += one.calls;
    all += places(one);
    if (one.calls < places(one)) {
      // A connection that is up goes before one that is on its way.
      if (!best || std::pair(one.up, one.calls) > std::pair(best->up, best->calls))
        best = &one, best_id = id;
    } else if (!least || one.calls - places(one) < least->calls - places(*least)) {
      least = &one, least_id = id;
    }
  }
  const bool wanted = !best || static_cast<double>(taken) >= limits_.open_at * static_cast<double>(all);
  const bool first = !best && !least;  // none that could take a call, now or later
  const bool allowed =
      may_open && connections_.size() < limits_.connections && !opens() && now >= not_before_;
  if (allowed && (first || (wanted && proven))) {
    const Id id = next_++;
    connections_[id];
    if (!best)
      return {Answer::open, id, {}};
    return {Answer::use, best_id, id};  // there is a place yet; the new one is for the next calls
  }
  if (best)
    return {Answer::use, best_id, {}};
  // Waiting is bounded: a call that could not be sent is tried at another node instead.
  if (least && least->calls - places(*least) < limits_.waiting && places(*least) > 0)
    return {Answer::use, least_id, {}};
  return {};
}

void Pool::up(Time now, Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  found->second.up = true;
  found->second.rests = now;
  failures_ = 0;
  not_before_ = {};
}

void Pool::allows(Id id, std::uint32_t streams) {
  if (const auto found = connections_.find(id); found != connections_.end())
    found->second.allows = streams;
}
void Pool::began(Id id) {
  if (const auto found = connections_.find(id); found != connections_.end())
    ++found->second.calls;
}
void Pool::ended(Time now, Id id, bool answered) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  Connection& one = found->second;
  one.calls -= std::min<std::uint32_t>(one.calls, 1);
  one.proven |= answered;
  if (answered)
    one.silent = false;
  if (one.calls == 0)
    one.rests = now;
}
void Pool::drains(Id id) {
  if (const auto found = connections_.find(id); found != connections_.end())
    found->second.drains = true;
}
void Pool::silent(Id id) {
  if (const auto found = connections_.find(id); found != connections_.end())
    found->second.silent = true;
}
void Pool::heard(Id id) {
  if (const auto found = connections_.find(id); found != connections_.end())
    found->second.silent = false;
}

// After one that did not come up the next waits, longer each time: a node that refuses connections is not to
// be knocked at for every call that the module still sends there.
void Pool::gone(Time now, Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  const bool was_up = found->second.up;
  connections_.erase(found);
  if (was_up)
    return;
  const auto wait = std::min(limits_.back_off_most, limits_.back_off * (1 << std::min(failures_, 10)));
  ++failures_;
  // The first failure costs nothing yet: it may have been this one connection.
  if (failures_ > 1)
    not_before_ = now + wait;
}

std::vector<Pool::Id> Pool::retire(Time now) const {
  std::vector<Id> ids;
  for (const auto& [id, one] : connections_)
    if (one.up && one.calls == 0 && (one.drains || now - one.rests >= limits_.idle))
      ids.push_back(id);
  return ids;
}

std::optional<std::pair<Pool::Time, Pool::Id>> Pool::idlest() const {
  std::optional<std::pair<Time, Id>> best;
  for (const auto& [id, one] : connections_)
    if (one.up && one.calls == 0 && (!best || one.rests < best->first))
      best = {one.rests, id};
  return best;
}

std::size_t Pool::calls() const {
  std::size_t all = 0;
  for (const auto& [id, one] : connections_)
    all += one.calls;
  return all;
}

}  // namespace lemonroute::grpc
