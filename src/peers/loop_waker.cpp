#include "peers/loop_waker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace lemonroute::peers {

LoopWaker::LoopWaker(net::Loop& loop, std::function<void()> on_wake)
    : on_wake_(std::move(on_wake)), fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (fd_ < 0)
    throw std::runtime_error("peers: can't create an eventfd");
  event_.reset(event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<LoopWaker*>(self)->on_readable(); }, this));
  event_add(event_.get(), nullptr);
}

LoopWaker::~LoopWaker() {
  event_.reset();
  close(fd_);
}

void LoopWaker::wake() {
  if (pending_.exchange(true))
    return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(fd_, &one, sizeof one);
}

void LoopWaker::on_readable() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto bytes_read = read(fd_, &count, sizeof count);
  // Cleared before the callback, so that work added while it runs wakes the loop again. An exchange, so that
  // the callback sees the work of a ring() that found the flag set already.
  pending_.exchange(false);
  on_wake_();
}

}  // namespace lemonroute::peers
