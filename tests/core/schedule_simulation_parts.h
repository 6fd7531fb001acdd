// The calls and clients of a ScheduleSimulation: an attempt at a node, a client, and a release call.
#pragma once

#include "core/schedule_simulation.h"

namespace lemonroute::property {

constexpr Micros one_way_delay = 1ms;
constexpr double prefill_tokens_per_second = 8000;  // of a node after its slow start

struct ScheduleSimulation::SimulatedAttempt : Call {
  SimulatedAttempt(ScheduleSimulation& simulation, SimulatedNode& node, SimulatedClient& client,
                   AttemptHandler& handler)
      : simulation(simulation), node(node), client(client), handler(handler) {
    node.attempts.insert(this);
  }
  ~SimulatedAttempt() override { simulation.on_attempt_closed(*this); }
  bool not_sent() const override { return !sent; }
  void set_reading_paused(bool pause) override;
  ScheduleSimulation& simulation;
  SimulatedNode& node;
  SimulatedClient& client;
  AttemptHandler& handler;
  bool sent = false, streaming = false, finished = false, reading_paused = false, event_pending = false;
  int events_left = 0;
  std::optional<Timers::Id> timer;
};

struct ScheduleSimulation::SimulatedClient : Client {
  SimulatedClient(ScheduleSimulation& simulation, std::string name)
      : simulation(simulation), name(std::move(name)) {}
  bool on_data(std::string_view) override {
    ++event_count;
    if (!std::exchange(has_first_event, true))
      simulation.monitor_.first(simulation.clock_.time, name);
    if (!simulation.random_.one_in(8))
      return true;
    ++simulation.coverage_.reading_paused;
    simulation.schedule_at(simulation.clock_.time + simulation.random_.up_to(300ms), [this] {
      if (open)
        simulation.router_.resume_stream(request_id);
    });
    return false;
  }
  void finish() override { record_answer(simulation.coverage_.served, "served"); }
  void reject(Micros retry_after) override {
    if (retry_after < Micros(0) ||
        retry_after >
            (simulation.settings_.retry_after_allowed ? simulation.settings_.max_retry_after : Micros(0)))
      simulation.record_failure(name + " was rejected with a retry delay longer than the settings allow");
    open = false;
    ++simulation.coverage_.rejected;
    simulation.monitor_.refused(simulation.clock_.time, name);
  }
  void fail(FailureReason) override { record_answer(simulation.coverage_.failed, "failed"); }
  void abort_stream() override { record_answer(simulation.coverage_.aborted, "aborted"); }
  void record_answer(int& count, const char* answer) {
    open = false;
    ++count;
    simulation.monitor_.answered(simulation.clock_.time, name, answer);
  }
  ScheduleSimulation& simulation;
  std::string name;
  RequestId request_id = 0;
  Idempotency idempotency = Idempotency::idempotent;
  bool open = true, has_first_event = false;
  double prompt_tokens = 0;
  int event_count = 0;
  bool may_have_run = false;  // an earlier attempt may have run at a node that generates output
  SimulatedAttempt* attempt = nullptr;
  std::optional<Micros> attempt_closed_at;  // when the router closed the last sent attempt
};

struct ScheduleSimulation::ReleaseCall : Call {
  explicit ReleaseCall(ScheduleSimulation& simulation) : simulation(simulation) {}
  ~ReleaseCall() override {
    if (timer)
      simulation.timers_.cancel(*timer);
  }
  ScheduleSimulation& simulation;
  std::optional<Timers::Id> timer;
};

}  // namespace lemonroute::property
