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
  for (auto at = watchers_.begin(); at != watchers_.end();) {
    if (const auto watcher = at->second.lock()) {
      (*watcher)(now);
      ++at;
    } else {
      at = watchers_.erase(at);
    }
  }
}

Status::Handle Status::watch(std::function<void(State)> changed) {
  auto handle = std::make_shared<const std::function<void(State)>>(std::move(changed));
  watchers_[next_++] = handle;
  return handle;
}

}  // namespace lemonroute::ops
