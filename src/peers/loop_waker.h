// Wakes an event loop from another thread, without either side waiting for the other.
#pragma once

#include <atomic>
#include <functional>

#include "net/loop.h"

namespace lemonroute::peers {

/// Runs a callback on a loop when another thread asks for it.
class LoopWaker {
 public:
  /// `on_wake` runs on the loop. Throws std::runtime_error if no descriptor is available.
  LoopWaker(net::Loop& loop, std::function<void()> on_wake);
  ~LoopWaker();
  LoopWaker(const LoopWaker&) = delete;
  LoopWaker& operator=(const LoopWaker&) = delete;

  /// Wakes the loop; may be called from any thread. Calls made before the loop runs are merged into one.
  void wake();

 private:
  void on_readable();
  std::function<void()> on_wake_;
  const int fd_;
  std::atomic<bool> pending_{false};
  net::EventPtr event_;
};

}  // namespace lemonroute::peers
