#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr Micros tell_every = std::chrono::seconds(1);  // the observer hears of demand

}  // namespace

void Router::guide(std::shared_ptr<const Guide> guide) {
  const auto before = live_settings().siblings;
  guide_ = std::move(guide);
  if (const auto live = live_settings(); live.siblings != before) {
    logging::info() << "routers that share the nodes: " << live.siblings;
    scheduler_.retune(live);
  }
  std::vector<HostId> lost;
  for (auto& [id, node] : known_)
    if (const Micros at = guide_ ? guide_->lost(node) : Micros(0); at > node.lost) {
      node.lost = at;
      lost.push_back(id);
    }
  lay_again();
  for (const HostId id : lost)
    put(Void{id});
}

void Router::observer(NodeObserver* observer) {
  observer_ = observer;
  if (!observer_)
    return;
  tell_listed();
  tell_demand();
}

Settings Router::live_settings() const {
  Settings live = settings_;
  if (const auto siblings = guide_ ? guide_->siblings() : 0)
    live.siblings = siblings;
  return live;
}

// Nodes of the prompt's text that this router's peers know of, by the names that all routers share.
std::vector<KeptHint> Router::hints(Key session, Key shared) const {
  std::vector<KeptHint> hints;
  if (!guide_)
    return hints;
  for (const auto& kept : guide_->kept(session, shared))
    if (const auto id = ids_.find(kept.node); id != ids_.end())
      hints.push_back({id->second, kept.tokens, std::clamp(kept.confidence, 0.0, 1.0)});
  return hints;
}

void Router::tell_listed() {
  if (!observer_)
    return;
  std::vector<Node> nodes;
  for (const auto& [id, node] : known_)
    nodes.push_back(node);
  observer_->listed(nodes, clock_.now());
}

void Router::tell_demand() {
  if (!observer_)
    return;
  const Micros now = clock_.now();
  double memory = 0, own = 0;
  std::uint32_t writers = 0;
  for (const auto& [id, node] : known_) {
    if (!node.ready() || role(id) == Role::read)
      continue;
    ++writers;
    const auto kind = node.entry.kind;
    memory += kind < settings_.kind_memory.size() ? settings_.kind_memory[kind] : 0;
  }
  for (const auto& [id, entry] : requests_)
    if (entry->out && entry->out->role != Role::read)
      own += entry->tokens;
  observer_->demand(demand_.take(own, memory, writers, now), now);
  timers_.add(now + tell_every, [this] { tell_demand(); });
}

}  // namespace lemonroute
