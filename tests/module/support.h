// A Scheduler driven by hand for tests: the fixture puts events to it, collects actions and keeps due timers.
// No I/O.
#pragma once

#include <gtest/gtest.h>

#include "lemonroute/scheduler.h"

namespace lemonroute::test {

using namespace std::chrono_literals;

inline constexpr std::uint8_t prefill_kind = 0, decode_kind = 1, mixed_kind = 2;

inline Settings settings() {
  Settings s;
  ClassSettings safe;
  safe.name = "safe";
  safe.latency_objective = 1s;
  safe.deadline = 6s;
  safe.inter_token_objective = 60ms;
  safe.latency_objective_per_1000_tokens = 40ms;
  safe.priority_weight = 2;
  safe.streaming = true;
  ClassSettings keyed = safe, unsafe = safe;
  keyed.name = "keyed";
  keyed.idempotency = Idempotency::idempotent_with_key;
  keyed.retry_scope = RetryScope::cell;
  keyed.retry_window = 2s;
  unsafe.name = "unsafe";
  unsafe.idempotency = Idempotency::not_idempotent;
  s.classes = {safe, keyed, unsafe};
  s.kind_role = {Role::prefill, Role::decode, Role::mixed};
  s.kind_memory = {200000, 150000, 200000};
  s.cancellation_allowed = true;
  s.retry_after_allowed = true;
  s.max_attempts = 5;
  s.max_retry_after = 1s;
  s.reservation_release_timeout = 300ms;
  s.slow_start_duration = 12s;
  s.slow_start_initial_capacity = 0.25;
  s.overload_factor = 2.5;
  s.overload_window = 3s;
  s.drain_grace = 500ms;
  s.min_batch_interval = 4ms;
  return s;
}

inline Endpoint host(EndpointId id, std::uint8_t kind, std::uint16_t cell = 0, std::uint8_t zone = 0) {
  Endpoint e;
  e.id = id;
  e.kind = kind;
  e.cell = cell;
  e.zone = zone;
  return e;
}

class SchedulerFixture {
 public:
  explicit SchedulerFixture(Settings s = settings(), std::uint64_t seed = 1)
      : scheduler(std::move(s), seed) {}

  // Puts one event to the Scheduler and returns the actions that follow.
  std::vector<Action> handle(const Event& event) {
    std::vector<Action> actions;
    scheduler.handle(now, event, actions);
    for (const auto& action : actions) {
      if (const auto* sleep = std::get_if<StartTimer>(&action))
        timers.emplace_back(now + sleep->delay, sleep->timer_id);
      if (const auto* log = std::get_if<Log>(&action))
        log_lines.push_back(log->line);
    }
    return actions;
  }
  std::vector<Action> list(std::vector<Endpoint> hosts, EndpointListKind kind = EndpointListKind::full) {
    return handle(EndpointListUpdate{kind, 1, std::move(hosts)});
  }
  Request request(float prompt = 4000, std::uint16_t cls = 0, Key session = 0, Key shared = 0,
                  float prefix = 0) {
    Request r;
    r.id = next_id++;
    r.class_index = cls;
    r.session_key = session ? session : r.id * 7919;
    r.time_budget = 6s;
    r.shared_prefix_key = shared;
    r.prompt_tokens = prompt;
    r.shared_prefix_tokens = prefix;
    r.max_output_tokens = 400;
    return r;
  }
  std::vector<Action> complete(RequestId id, std::uint16_t attempt, EndpointId host, Outcome outcome,
                               Micros elapsed = 100ms, std::uint32_t note = 0, bool done = false,
                               std::vector<float> load = {}) {
    return handle(AttemptCompleted{id, outcome, done, elapsed, host, note, attempt, std::move(load)});
  }
  std::vector<Action> first(RequestId id, std::uint16_t attempt, EndpointId host, Micros elapsed = 50ms) {
    return handle(FirstTokenReceived{id, host, attempt, elapsed});
  }
  // A whole request served in the usual way; returns the reader that was chosen.
  EndpointId serve(const Request& r, Micros read_time = 100ms, std::uint32_t kept = 0) {
    const EndpointId reader = sent_to(handle(r));
    now += read_time;
    const EndpointId writer = sent_to(complete(r.id, 0, reader, Outcome::prefill_done, read_time, kept));
    now += 50ms;
    first(r.id, 1, writer);
    now += 500ms;
    complete(r.id, 1, writer, Outcome::ok, 550ms, 0, true);
    return reader;
  }
  // Delivers timers that are due up to `until`, and moves the clock there.
  std::vector<Action> advance_to(Micros until) {
    std::vector<Action> all;
    for (;;) {
      auto due = timers.end();
      for (auto it = timers.begin(); it != timers.end(); ++it)
        if (it->first <= until && (due == timers.end() || it->first < due->first))
          due = it;
      if (due == timers.end())
        break;
      now = std::max(now, due->first);
      const auto cookie = due->second;
      timers.erase(due);
      for (auto& action : handle(TimerFired{cookie}))
        all.push_back(std::move(action));
    }
    now = std::max(now, until);
    return all;
  }

  template <class T>
  static const T* find(const std::vector<Action>& actions) {
    for (const auto& action : actions)
      if (const auto* found = std::get_if<T>(&action))
        return found;
    return nullptr;
  }
  static EndpointId sent_to(const std::vector<Action>& actions) {
    const auto* send = find<Send>(actions);
    return send ? send->endpoint : 0;
  }

  Scheduler scheduler;
  Micros now = 1000s;
  RequestId next_id = 1;
  std::vector<std::pair<Micros, std::uint32_t>> timers;
  std::vector<std::string> log_lines;
};

}  // namespace lemonroute::test
