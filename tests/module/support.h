// Test fixture that feeds events to a Scheduler, collects its actions, and keeps the timers that it starts.
// Performs no I/O.
#pragma once

#include <gtest/gtest.h>

#include "lemonroute/scheduler.h"

namespace lemonroute::test {

using namespace std::chrono_literals;

// Machine kinds: indexes into Settings::role_by_kind of settings().
inline constexpr std::uint8_t prefill_kind = 0, decode_kind = 1, mixed_kind = 2;

// Request classes: indexes into Settings::classes of settings(). Class 0 is idempotent.
inline constexpr std::uint16_t idempotent_with_key_class = 1, not_idempotent_class = 2;

inline Settings settings() {
  Settings s;
  ClassSettings idempotent;
  idempotent.name = "safe";
  idempotent.latency_objective = 1s;
  idempotent.deadline = 6s;
  idempotent.inter_token_objective = 60ms;
  idempotent.latency_objective_per_1000_tokens = 40ms;
  idempotent.priority_weight = 2;
  idempotent.streaming = true;
  ClassSettings idempotent_with_key = idempotent, not_idempotent = idempotent;
  idempotent_with_key.name = "keyed";
  idempotent_with_key.idempotency = Idempotency::idempotent_with_key;
  idempotent_with_key.retry_scope = RetryScope::cell;
  idempotent_with_key.retry_window = 2s;
  not_idempotent.name = "unsafe";
  not_idempotent.idempotency = Idempotency::not_idempotent;
  s.classes = {idempotent, idempotent_with_key, not_idempotent};
  s.role_by_kind = {Role::prefill, Role::decode, Role::mixed};
  s.kv_cache_tokens_by_kind = {200000, 150000, 200000};
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

inline Endpoint make_endpoint(EndpointId id, std::uint8_t kind, std::uint16_t cell = 0,
                              std::uint8_t zone = 0) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.kind = kind;
  endpoint.cell = cell;
  endpoint.zone = zone;
  return endpoint;
}

class SchedulerFixture {
 public:
  explicit SchedulerFixture(Settings s = settings(), std::uint64_t seed = 1)
      : scheduler(std::move(s), seed) {}

  // Passes one event to the Scheduler and returns the resulting actions.
  std::vector<Action> handle(const Event& event) {
    std::vector<Action> actions;
    scheduler.handle(now, event, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<StartTimer>(&action))
        timers.emplace_back(now + timer->delay, timer->timer_id);
      if (const auto* log = std::get_if<Log>(&action))
        log_lines.push_back(log->line);
    }
    return actions;
  }
  std::vector<Action> update_endpoints(std::vector<Endpoint> endpoints,
                                       EndpointListKind kind = EndpointListKind::full) {
    return handle(EndpointListUpdate{kind, 1, std::move(endpoints)});
  }
  // Makes a request with a new id, but does not pass it to the Scheduler. Lengths are in tokens. Without a
  // session key, the request gets a session of its own.
  Request make_request(float prompt_tokens = 4000, std::uint16_t class_index = 0, Key session_key = 0,
                       Key shared_prefix_key = 0, float shared_prefix_tokens = 0) {
    Request request;
    request.id = next_id++;
    request.class_index = class_index;
    request.session_key = session_key ? session_key : request.id * 7919;
    request.time_budget = 6s;
    request.shared_prefix_key = shared_prefix_key;
    request.prompt_tokens = prompt_tokens;
    request.shared_prefix_tokens = shared_prefix_tokens;
    request.max_output_tokens = 400;
    return request;
  }
  std::vector<Action> complete_attempt(RequestId id, std::uint16_t attempt, EndpointId endpoint,
                                       Outcome outcome, Micros elapsed = 100ms,
                                       std::uint32_t cached_tokens = 0, bool request_finished = false,
                                       std::vector<float> load_report = {}) {
    return handle(AttemptCompleted{id, outcome, request_finished, elapsed, endpoint, cached_tokens, attempt,
                                   std::move(load_report)});
  }
  std::vector<Action> receive_first_token(RequestId id, std::uint16_t attempt, EndpointId endpoint,
                                          Micros elapsed = 50ms) {
    return handle(FirstTokenReceived{id, endpoint, attempt, elapsed});
  }
  // Serves a request with one prefill and one decode attempt. Returns the prefill node.
  EndpointId serve(const Request& request, Micros prefill_time = 100ms, std::uint32_t cached_tokens = 0) {
    const EndpointId prefill_node = sent_to(handle(request));
    now += prefill_time;
    const EndpointId decode_node = sent_to(
        complete_attempt(request.id, 0, prefill_node, Outcome::prefill_done, prefill_time, cached_tokens));
    now += 50ms;
    receive_first_token(request.id, 1, decode_node);
    now += 500ms;
    complete_attempt(request.id, 1, decode_node, Outcome::ok, 550ms, 0, true);
    return prefill_node;
  }
  // Delivers the timers that expire up to `until`, and advances the clock to it.
  std::vector<Action> advance_to(Micros until) {
    std::vector<Action> all_actions;
    for (;;) {
      auto next_timer = timers.end();
      for (auto it = timers.begin(); it != timers.end(); ++it)
        if (it->first <= until && (next_timer == timers.end() || it->first < next_timer->first))
          next_timer = it;
      if (next_timer == timers.end())
        break;
      now = std::max(now, next_timer->first);
      const auto timer_id = next_timer->second;
      timers.erase(next_timer);
      for (auto& action : handle(TimerFired{timer_id}))
        all_actions.push_back(std::move(action));
    }
    now = std::max(now, until);
    return all_actions;
  }

  // Returns the first action of type T, or null.
  template <class T>
  static const T* find_action(const std::vector<Action>& actions) {
    for (const auto& action : actions)
      if (const auto* found = std::get_if<T>(&action))
        return found;
    return nullptr;
  }
  // Returns the endpoint of the first Send action, or 0 without one.
  static EndpointId sent_to(const std::vector<Action>& actions) {
    const auto* send = find_action<Send>(actions);
    return send ? send->endpoint : 0;
  }

  Scheduler scheduler;
  Micros now = 1000s;
  RequestId next_id = 1;
  std::vector<std::pair<Micros, std::uint32_t>> timers;  // time of expiry and timer id
  std::vector<std::string> log_lines;
};

}  // namespace lemonroute::test
