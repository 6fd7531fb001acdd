// What the files of a schedule share: an attempt at a node, a client, a call that lets a state go.
#pragma once

#include "core/play.h"

namespace lemonroute::property {

constexpr Micros hop = 1ms;
// Prompt tokens a second that a warm node reads.
constexpr double capacity = 8000;

struct Play::Run : Call {
  Run(Play& play, Place& place, Asker& asker, AttemptHandler& attempt)
      : play(play), place(place), asker(asker), attempt(attempt) {
    place.calls.insert(this);
  }
  ~Run() override { play.let_go(*this); }
  bool not_sent() const override { return !sent; }
  void pause_reading(bool on) override;
  Play& play;
  Place& place;
  Asker& asker;
  AttemptHandler& attempt;
  bool sent = false, begun = false, over = false, held_back = false, paused = false;
  int left = 0;  // events of its stream
  std::optional<Timers::Id> timer;
};

struct Play::Asker : Client {
  Asker(Play& play, std::string name) : play(play), name(std::move(name)) {}
  bool on_data(std::string_view) override {
    ++events;
    if (!std::exchange(begun, true))
      play.monitor_.first(play.clock_.at, name);
    if (!play.draw_.one_in(8))
      return true;
    ++play.seen_.held_back;
    play.at(play.clock_.at + play.draw_.up_to(300ms), [this] {
      if (open)
        play.core_.resume_stream(id);
    });
    return false;
  }
  void finish() override { end(play.seen_.served, "served"); }
  void reject(Micros away) override {
    if (away < Micros(0) ||
        away > (play.settings_.retry_after_allowed ? play.settings_.max_retry_after : Micros(0)))
      play.fault(name + " is told to stay away for longer than the settings allow");
    open = false;
    ++play.seen_.refused;
    play.monitor_.refused(play.clock_.at, name);
  }
  void fail(FailureReason) override { end(play.seen_.failed, "failed"); }
  void abort_stream() override { end(play.seen_.cut, "cut"); }
  void end(int& count, const char* how) {
    open = false;
    ++count;
    play.monitor_.answered(play.clock_.at, name, how);
  }
  Play& play;
  std::string name;
  RequestId id = 0;
  Idempotency effect = Idempotency::idempotent;
  bool open = true, begun = false;
  double tokens = 0;
  int events = 0;
  bool served_at = false;  // an attempt that may have run has ended
  Run* live = nullptr;
  std::optional<Micros> closed_at;  // when the router closed the last attempt that was sent
};

struct Play::Releasing : Call {
  explicit Releasing(Play& play) : play(play) {}
  ~Releasing() override {
    if (timer)
      play.timers_.cancel(*timer);
  }
  Play& play;
  std::optional<Timers::Id> timer;
};

}  // namespace lemonroute::property
