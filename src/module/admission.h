// Admission control: early refusal before the prefill, a tenant's share, and when to come again.
#pragma once

#include "decode_load.h"

namespace lemonroute::decisions {

constexpr double wait_margin = 0.8;  // waits turn out longer than estimated: others' sends are seen late

// Whether a request is beyond its tenant's share, by a token bucket that holds this router's part of it.
inline bool beyond_share(State& s, std::uint16_t tenant) {
  if (tenant >= s.settings.tenants.size() || s.settings.tenants[tenant].quota_rps <= 0) return false;
  const double per_second = s.settings.tenants[tenant].quota_rps / s.settings.siblings;
  return !s.buckets[tenant].take(per_second, std::max(2.0, 2 * per_second), s.now);
}

// The least load of the decode nodes by the time this request is prefilled: what they hold, and their part of
// what is in prefill now, here and, by the same measure, at the other routers.
inline double least_load(State& s, const Job& job) {
  double prefill = 0, memory = 0, least = 1e9;
  for (const auto& [id, other] : s.jobs)
    if (!other.ended && !other.attempts.empty() &&
        (other.held || s.role_of(other.attempts.back().host) == Role::read))
      prefill += other.prompt;
  s.coming.add(prefill, s.now, learn / 4);
  for (const auto& [id, node] : s.nodes)
    if (node.listed() && node.role != Role::read) {
      memory += node.memory;
      least = std::min(least, load(s, node) + job.prompt / std::max(1.0, node.memory));
    }
  return least + (prefill + s.coming.value * (s.settings.siblings - 1)) / std::max(1.0, memory);
}

// Early refusal. A request is judged by the wait it would have, never by its own long prefill, and not before
// a rate is known; what is worth less yields first, by a shorter wait and a lower load.
inline bool refuse_early(State& s, const Job& job, double wait, double read) {
  const double load = least_load(s, job);
  if (!s.any_rate.known || (job.request.flags & 16)) return false;  // a stream that broke is paid for already
  // The worth of a unit of work, against the best class's.
  const double value =
      job.terms->worth / std::max(1e-9, s.most_worth) * (job.over_share ? s.settings.over_share_worth : 1);
  const double yield = 0.5 + 0.5 * std::sqrt(value);
  const double most_wait = wait_margin * std::max(job.aim - read, job.aim / 2) * yield;
  // Danger: a router that took waits to be long refuses all, and learns no better. Its evidence fades.
  // Where no loads are reported the wait at decode nodes is what streams have met lately.
  const double decode = s.settings.report_x0_is_memory ? 0 : s.first_token.faded(s.now, s.fade);
  const double counted = wait * s.any_rate.trust(s.now, s.fade) + decode;
  const bool refused = counted > most_wait || load > full_at * yield;
  if (refused && s.told_to)
    s.told_to(Choice{.id = job.request.id,
                     .at = s.now,
                     .refused = true,
                     .wait = micros(counted),
                     .most_wait = micros(most_wait),
                     .load = load,
                     .most_load = full_at * yield});
  return refused;
}

inline Micros retry_after(const State& s, double wait) {
  if (!s.settings.retry_after) return Micros(0);
  return std::min(s.settings.max_retry_after, micros(std::max(wait, us(s.fade) / 20)));
}

}  // namespace lemonroute::decisions
