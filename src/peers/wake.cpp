#include "peers/wake.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace lemonroute::peers {

Wake::Wake(net::Loop& loop, std::function<void()> woken)
    : woken_(std::move(woken)), fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (fd_ < 0)
    throw std::runtime_error("peers: no descriptor to wake a loop by");
  event_.reset(event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Wake*>(self)->on_ring(); }, this));
  event_add(event_.get(), nullptr);
}

Wake::~Wake() {
  event_.reset();
  close(fd_);
}

void Wake::ring() {
  if (rung_.exchange(true))
    return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(fd_, &one, sizeof one);
}

void Wake::on_ring() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = read(fd_, &count, sizeof count);
  // Before the work: what is left for this side while it works must ring again. An exchange, so that all that
  // was left before a ring that found the bell rung is seen now.
  rung_.exchange(false);
  woken_();
}

}  // namespace lemonroute::peers
