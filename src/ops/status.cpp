#include "ops/status.h"

#include <utility>

namespace lemonroute::ops {

State Status::state() const {
  if (draining_)
    return State::draining;
  return router_.ready_node_count() > 0 ? State::up : State::down;
}

void Status::drain() {
  draining_ = true;
  check();
}

void Status::check() {
  const State now = state();
  if (std::exchange(told_, now) == now)
    return;
  const Watchers notified = *watchers_;  // a watcher that is notified may end other watches
  for (const auto& [id, watcher] : notified)
    if (watchers_->contains(id))
      (*watcher)(now);
}

Status::Handle Status::watch(std::function<void(State)> changed) {
  const std::uint64_t id = next_++;
  (*watchers_)[id] = std::make_shared<const std::function<void(State)>>(std::move(changed));
  const auto remove = [watchers = std::weak_ptr(watchers_), id](void*) {
    if (const auto remaining = watchers.lock())
      remaining->erase(id);
  };
  return {nullptr, remove};
}

}  // namespace lemonroute::ops
