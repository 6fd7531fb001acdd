// Seeded random values for test schedules: settings, and the probabilities of events at nodes and clients.
// The same seed gives the same values.
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

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  std::size_t below(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
  bool one_in(std::size_t count) { return below(count) == 0; }
  Micros up_to(Micros limit) {
    return Micros(static_cast<Micros::rep>(below(static_cast<std::size_t>(limit.count()) + 1)));
  }
  template <class T>
  T pick(std::initializer_list<T> values) {
    return values.begin()[below(values.size())];
  }
  template <class T>
  void shuffle(std::vector<T>& values) {
    std::shuffle(values.begin(), values.end(), random_);
  }

  // Random settings: one class of each Idempotency in random order, with short retry windows, short deadlines
  // and a random attempt limit.
  Settings settings() {
    Settings settings;
    for (const auto& [name, idempotency] : {std::pair("draft", Idempotency::idempotent),
                                            {"keyed", Idempotency::idempotent_with_key},
                                            {"once", Idempotency::not_idempotent}}) {
      ClassSettings class_settings;
      class_settings.name = name;
      class_settings.idempotency = idempotency;
      class_settings.retry_scope = pick({RetryScope::all, RetryScope::zone, RetryScope::cell});
      class_settings.deadline = pick<Micros>({200ms, 500ms, 1s, 2s, 3s, 6s});
      class_settings.latency_objective = class_settings.deadline / 3;
      class_settings.retry_window = pick<Micros>({50ms, 200ms, 500ms, 1s, 5s});
      class_settings.streaming = true;
      settings.classes.push_back(class_settings);
    }
    shuffle(settings.classes);
    settings.role_by_kind = {Role::prefill, Role::decode, Role::mixed};
    settings.kv_cache_tokens_by_kind = {200000, 150000, 150000};
    settings.max_attempts = pick<std::uint32_t>({1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6});
    settings.cancellation_allowed = one_in(2);
    settings.retry_after_allowed = one_in(2);
    settings.max_retry_after = 500ms;
    settings.reservation_release_timeout = pick<Micros>({500ms, 1s});
    settings.connect_timeout = pick<Micros>({100ms, 250ms, 1s});
    settings.drain_grace = 500ms;
    settings.slow_start_duration = 5s;
    settings.slow_start_initial_capacity = 0.3;
    settings.overload_window = pick<Micros>({1s, 3s});
    settings.overload_factor = 3;
    settings.router_count = static_cast<std::uint32_t>(1 + below(3));
    settings.min_batch_interval = 2ms;
    return settings;
  }

  // Time until a connection is ready to send the request; nothing if the connection is never established.
  std::optional<Micros> connect_delay() {
    if (!one_in(3))
      return Micros(0);  // an idle connection of the pool
    if (one_in(6))
      return std::nullopt;
    return one_in(3) ? up_to(1s) : up_to(20ms);
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace lemonroute::property
