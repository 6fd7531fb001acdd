// Admission control: early refusal before the prefill, a tenant's share, and when to come again.
#pragma once

#include "decode_load.h"

namespace lemonroute::decisions {

constexpr double wait_safety_factor = 0.8;  // waits turn out longer than estimated: others' sends are seen late

// Whether a request is beyond its tenant's share, by a token bucket that holds this router's part of it.
inline bool exceeds_quota(SchedulerState& s, std::uint16_t tenant) {
  if (tenant >= s.settings.tenants.size() || s.settings.tenants[tenant].quota_rps <= 0) return false;
  const double per_second = s.settings.tenants[tenant].quota_rps / s.settings.router_count;
  return !s.quota_buckets[tenant].take(per_second, std::max(2.0, 2 * per_second), s.now);
}

// The least load of the decode nodes by the time this request is prefilled: what they hold, and their part of
// what is in prefill now, here and, by the same measure, at the other routers.
inline double projected_min_decode_load(SchedulerState& s, const RequestState& job) {
  double prefill = 0, memory = 0, least = 1e9;
  for (const auto& [id, other] : s.requests)
    if (!other.ended && !other.attempts.empty() &&
        (other.has_reservation || s.role_of_endpoint(other.attempts.back().endpoint) == Role::prefill))
      prefill += other.prompt_tokens;
  s.prefill_in_flight.add(prefill, s.now, usual_sample_weight / 4);
  for (const auto& [id, node] : s.nodes)
    if (node.is_ready() && node.role != Role::prefill) {
      memory += node.kv_cache_tokens;
      least = std::min(least, load(s, node) + job.prompt_tokens / std::max(1.0, node.kv_cache_tokens));
    }
  return least + (prefill + s.prefill_in_flight.value * (s.settings.router_count - 1)) / std::max(1.0, memory);
}

// Early refusal. A request is judged by the wait it would have, never by its own long prefill, and not before
// a rate is known; what is worth less yields first, by a shorter wait and a lower load.
inline bool should_shed(SchedulerState& s, const RequestState& job, double wait, double read) {
  const double load = projected_min_decode_load(s, job);
  if (!s.last_prefill_rate.known || (job.request.flags & 16)) return false;  // a stream that broke is paid for already
  // The worth of a unit of work, against the best class's.
  const double value =
      job.class_settings->priority_weight / std::max(1e-9, s.max_priority_weight) * (job.over_quota ? s.settings.over_quota_priority_weight : 1);
  const double yield = 0.5 + 0.5 * std::sqrt(value);
  const double most_wait = wait_safety_factor * std::max(job.latency_objective - read, job.latency_objective / 2) * yield;
  // Danger: a router that took waits to be long refuses all, and learns no better. Its evidence fades.
  // Where no loads are reported the wait at decode nodes is what streams have met lately.
  const double decode = s.settings.report_x0_is_memory ? 0 : s.time_to_first_token.decayed_value(s.now, s.memory_duration);
  const double counted = wait * s.last_prefill_rate.confidence(s.now, s.memory_duration) + decode;
  const bool refused = counted > most_wait || load > full_load * yield;
  if (refused && s.choice_observer)
    s.choice_observer(Choice{.id = job.request.id,
                     .at = s.now,
                     .shed = true,
                     .estimated_wait = from_microseconds(counted),
                     .max_wait = from_microseconds(most_wait),
                     .load = load,
                     .max_load = full_load * yield});
  return refused;
}

inline Micros retry_after(const SchedulerState& s, double wait) {
  if (!s.settings.retry_after_allowed) return Micros(0);
  return std::min(s.settings.max_retry_after, from_microseconds(std::max(wait, to_microseconds(s.memory_duration) / 20)));
}

}  // namespace lemonroute::decisions
