// Wakes a loop from another thread. Neither side ever waits for the other.
#pragma once

#include <atomic>
#include <functional>

#include "net/loop.h"

namespace lemonroute::peers {

class Wake {
 public:
  Wake(net::Loop& loop, std::function<void()> woken);  // throws without a descriptor
  ~Wake();
  Wake(const Wake&) = delete;
  Wake& operator=(const Wake&) = delete;

  // From any thread. Many rings before the loop gets to it are one.
  void ring();

 private:
  void on_ring();
  std::function<void()> woken_;
  const int fd_;
  std::atomic<bool> rung_{false};
  net::EventPtr event_;
};

}  // namespace lemonroute::peers
