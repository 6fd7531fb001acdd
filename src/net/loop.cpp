#include "net/loop.h"

#include <stdexcept>

namespace lemonroute::net {

timeval to_timeval(Micros span) {
  const auto whole = std::chrono::duration_cast<std::chrono::seconds>(span);
  return {static_cast<time_t>(whole.count()), static_cast<suseconds_t>((span - whole).count())};
}

namespace {

struct ConfigFree {
  void operator()(event_config* config) const { event_config_free(config); }
};

event_base* new_base() {
  const std::unique_ptr<event_config, ConfigFree> config(event_config_new());
  // Without it a timer may fire a whole millisecond late.
  if (config)
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = config ? event_base_new_with_config(config.get()) : nullptr;
  if (!base)
    throw std::runtime_error("the event loop could not be made");
  return base;
}

void call(evutil_socket_t, short, void* function) {
  (*static_cast<std::function<void()>*>(function))();
}

}  // namespace

Loop::Loop() : base_(new_base()) {
  deferred_event_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->run_deferred(); }, this));
  reserve_ = std::make_unique<Reserve>(*this);
}

Loop::~Loop() {
  while (!deferred_.empty())
    run_deferred();
}

void Loop::run() {
  event_base_dispatch(base_.get());
}
void Loop::run_once() {
  event_base_loop(base_.get(), EVLOOP_ONCE);
}
void Loop::stop() {
  event_base_loopbreak(base_.get());
}

void Loop::defer(std::function<void()> job) {
  deferred_.push_back(std::move(job));
  event_active(deferred_event_.get(), EV_TIMEOUT, 0);
}

void Loop::run_deferred() {
  auto jobs = std::move(deferred_);
  deferred_.clear();
  for (auto& job : jobs) {
    job();
    job = nullptr;  // what it held goes before the next one runs
  }
}

Timer::Timer(Loop& loop, std::function<void()> due)
    : due_(std::move(due)), event_(evtimer_new(loop.base(), call, &due_)) {}
void Timer::start(Micros after) {
  const timeval span = to_timeval(std::max(after, Micros(0)));
  event_add(event_.get(), &span);
}
void Timer::stop() {
  event_del(event_.get());
}
bool Timer::pending() const {
  return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0;
}

Signal::Signal(Loop& loop, int number, std::function<void()> raised)
    : raised_(std::move(raised)), event_(evsignal_new(loop.base(), number, call, &raised_)) {
  event_add(event_.get(), nullptr);
}

}  // namespace lemonroute::net
