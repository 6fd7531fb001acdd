// Whether this router wants traffic, for everything that reports it: agent-check, /healthz, grpc.health.v1.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "core/router.h"

namespace lemonroute::ops {

enum class State { up, down, draining };  // down: no node is known to be ready

class Status {
 public:
  explicit Status(const Router& router) : router_(router) {}
  State state() const;
  void drain();
  void check();  // tells the watchers if the state has changed

  // `changed` is called on every change until the handle is let go of.
  using Handle = std::shared_ptr<const std::function<void(State)>>;
  Handle watch(std::function<void(State)> changed);

 private:
  const Router& router_;
  bool draining_ = false;
  State told_ = State::down;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::weak_ptr<const std::function<void(State)>>> watchers_;
};

}  // namespace lemonroute::ops
