// What a schedule draws: settings, and the odds of what nodes and clients do. The same seed draws the same.
#pragma once

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::property {

using namespace std::chrono_literals;

class Drawn {
 public:
  explicit Drawn(std::uint64_t seed) : random_(seed) {}
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(random_() % n); }
  bool one_in(std::size_t n) { return below(n) == 0; }
  Micros up_to(Micros most) {
    return Micros(static_cast<Micros::rep>(below(static_cast<std::size_t>(most.count()) + 1)));
  }
  template <class T>
  T any(std::initializer_list<T> of) {
    return of.begin()[below(of.size())];
  }
  template <class T>
  void shuffle(std::vector<T>& of) {
    std::shuffle(of.begin(), of.end(), random_);
  }

  // Classes of each effect, in any order; short windows, short deadlines, any number of attempts.
  Settings settings() {
    Settings s;
    for (const auto& [name, effect] : {std::pair("draft", Idempotency::idempotent),
                                       {"keyed", Idempotency::idempotent_with_key},
                                       {"once", Idempotency::not_idempotent}}) {
      ClassSettings c;
      c.name = name;
      c.idempotency = effect;
      c.retry_scope = any({RetryScope::all, RetryScope::zone, RetryScope::cell});
      c.deadline = any<Micros>({200ms, 500ms, 1s, 2s, 3s, 6s});
      c.latency_objective = c.deadline / 3;
      c.retry_window = any<Micros>({50ms, 200ms, 500ms, 1s, 5s});
      c.streaming = true;
      s.classes.push_back(c);
    }
    shuffle(s.classes);
    s.kind_role = {Role::prefill, Role::decode, Role::mixed};
    s.kind_memory = {200000, 150000, 150000};
    s.max_attempts = any<std::uint32_t>({1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6});
    s.cancellation_allowed = one_in(2);
    s.retry_after_allowed = one_in(2);
    s.max_retry_after = 500ms;
    s.reservation_release_timeout = any<Micros>({500ms, 1s});
    s.connect_timeout = any<Micros>({100ms, 250ms, 1s});
    s.drain_grace = 500ms;
    s.slow_start_duration = 5s;
    s.slow_start_initial_capacity = 0.3;
    s.overload_window = any<Micros>({1s, 3s});
    s.overload_factor = 3;
    s.router_count = static_cast<std::uint32_t>(1 + below(3));
    s.min_batch_interval = 2ms;
    return s;
  }

  // From the decision until the connection takes the request; nothing: it never does.
  std::optional<Micros> connecting() {
    if (!one_in(3))
      return Micros(0);  // it rested in the pool
    if (one_in(6))
      return std::nullopt;
    return one_in(3) ? up_to(1s) : up_to(20ms);
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace lemonroute::property
