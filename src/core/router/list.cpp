#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr std::size_t most_left = 1024;  // names of gone nodes that operators may still speak of

const char* word(Phase phase) {
  switch (phase) {
    case Phase::ready:
      return "ready";
    case Phase::draining:
      return "leaving";
    case Phase::gone:
      return "gone";
  }
  return "?";
}

}  // namespace

void Router::update(ListKind kind, std::uint32_t version, const std::vector<Listed>& listed) {
  HostList list{kind, version, {}};
  version_ = version;
  if (kind != ListKind::delta)
    for (auto& [id, node] : known_)
      node.entry.phase = node.listed = Phase::gone;
  for (const auto& item : listed) {
    const HostId id = id_of(item.name);
    Node& node = known_[id];
    ids_[item.name] = id;
    node.id = id;
    node.name = item.name;
    if (!item.address.empty())
      node.address = item.address;
    node.zone = item.zone;
    node.kind = item.kind;
    node.entry = {id, 0, 0, item.cell, item.phase, item.weight, item.started};
    place(node);
    node.listed = item.phase;
    node.listed_start = item.started;
    lay_over(node);
    list.hosts.push_back(node.entry);
    // The module's own lines name nodes by these numbers.
    logging::info() << "node " << item.name << " is host " << id << ", " << word(item.phase)
                    << (bans_.out(item.name) ? ", out by hand" : "");
  }
  logging::info() << "list " << version << (kind == ListKind::delta ? ": changes for " : ": whole, ")
                  << listed.size() << " nodes, " << ready_nodes() << " ready";
  // Guards the memory of a router that outlives its nodes many times over: a node that has gone is
  // forgotten. What is still under way there knows its name.
  std::erase_if(known_, [this](const auto& node) {
    const bool gone = node.second.entry.phase == Phase::gone;
    if (gone && std::find(left_.begin(), left_.end(), node.second.name) == left_.end())
      left_.push_back(node.second.name);
    if (gone) {
      ids_.erase(node.second.name);
      liveness_.erase(node.first);
    }
    return gone;
  });
  while (left_.size() > most_left)
    left_.pop_front();
  hurry_to_leaving();
  put(std::move(list));
  tell_listed();
}

void Router::place(Node& node) const {
  const auto index = [](const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(found - names.begin(), 255));
  };
  node.entry.zone = index(zones_, node.zone);
  node.entry.kind = index(kinds_, node.kind);
}

// The Scheduler sees a node that drains, and one that has just started when it is put back: it may have been
// restarted meanwhile, and discovery tells of that seconds late. Nodes of a pool that other routers have, or
// may have by now, drain as well.
bool Router::lay_over(Node& node) {
  const Guide::Laid laid = guide_ ? guide_->lay(node) : Guide::Laid{};
  const bool away = laid.away || laid.until <= clock_.now();
  if (!away)
    laid_until_ = std::min(laid_until_, laid.until);
  const bool out = bans_.out(node.name) || away;
  const Phase phase = out && node.listed == Phase::ready ? Phase::draining : node.listed;
  const Micros started =
      std::max({node.listed_start, bans_.back(node.name).value_or(Micros(0)), laid.started});
  if (node.entry.phase == phase && node.entry.started == started)
    return false;
  node.entry.phase = phase;
  node.entry.started = started;
  return true;
}

HostList Router::laid_again() {
  HostList list{ListKind::delta, version_, {}};
  laid_until_ = Micros::max();
  for (auto& [id, node] : known_)
    if (lay_over(node))
      list.hosts.push_back(node.entry);
  if (!list.hosts.empty())
    hurry_to_leaving();
  return list;
}

// Attempts to nodes that are not ready any more begin soon or not at all; half of what is allowed is left to
// the wire.
void Router::hurry_to_leaving() {
  for (const auto& [id, entry] : requests_) {
    if (!entry->out || entry->out->started)
      continue;
    const auto node = known_.find(entry->out->host);
    if (node == known_.end() || !node->second.ready())
      begin_by(*entry->out, clock_.now() + settings_.drain_grace / 2,
               {Outcome::connect_failed, 0, {}, "its node leaves"});
  }
}

void Router::lay_again() {
  if (HostList list = laid_again(); !list.hosts.empty())
    put(std::move(list));
}

HostId Router::id_of(const std::string& name) const {
  if (const auto known = ids_.find(name); known != ids_.end())
    return known->second;
  auto id = static_cast<HostId>(hash_of(name));
  while (known_.count(id))
    ++id;
  return id;
}

std::string Router::name_of(HostId id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? "" : found->second.name;
}

std::size_t Router::ready_nodes() const {
  return static_cast<std::size_t>(
      std::count_if(known_.begin(), known_.end(), [](const auto& node) { return node.second.ready(); }));
}

Role Router::role(HostId id) const {
  const auto found = known_.find(id);
  if (found == known_.end() || found->second.entry.kind >= settings_.kind_role.size())
    return Role::both;
  return settings_.kind_role[found->second.entry.kind];
}

}  // namespace lemonroute
