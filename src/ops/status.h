// Whether this router wants traffic, for everything that reports it: agent-check, /healthz, grpc.health.v1.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "core/router.h"

namespace lemonroute::ops {

enum class State { up, down, draining };  // down: no node is known to be ready

class Status {
 public:
  explicit Status(const Router& router) : router_(router) {}
  State state() const;
  void drain();
  void check();  // tells the watchers if the state has changed

  // `changed` is called on every change until the handle is destroyed, which may outlive this object.
  using Handle = std::shared_ptr<void>;
  Handle watch(std::function<void(State)> changed);
  std::size_t watcher_count() const { return watchers_->size(); }

 private:
  using Watcher = std::shared_ptr<const std::function<void(State)>>;
  using Watchers = std::map<std::uint64_t, Watcher>;
  const Router& router_;
  bool draining_ = false;
  State told_ = State::down;
  std::uint64_t next_ = 0;
  const std::shared_ptr<Watchers> watchers_ = std::make_shared<Watchers>();
};

}  // namespace lemonroute::ops
