#include "module/admission_controller.h"

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "lemonroute/events.h"

namespace lemonroute::decisions {
namespace {

using estimation::from_microseconds;
using estimation::to_microseconds;

// Part of the allowed wait that an estimated wait may use. Actual waits are longer than estimated, because
// this router learns late of the attempts of other routers.
constexpr double wait_safety_factor = 0.8;
// Load of a fleet without decode nodes; above every limit.
constexpr double load_without_nodes = 1e9;
// Part of the limits that applies to a request of priority weight 0. The rest is added in proportion to the
// square root of the request's weight relative to the largest weight of all classes.
constexpr double guaranteed_limit_share = 0.5;
constexpr double min_priority_weight = 1e-9;  // avoids a division by 0
// Low, because the tokens in flight change with every request.
constexpr double in_flight_sample_weight = estimation::usual_sample_weight / 4;
// The minimum Retry-After is the memory duration divided by this: an earlier retry would find the same
// estimates.
constexpr int retry_after_divisor = 20;

}  // namespace

double AdmissionController::prefill_tokens_in_flight() const {
  double tokens = 0;
  for (const auto& [id, request] : requests_.all()) {
    if (request.ended || request.attempts.empty())
      continue;
    const EndpointId latest_endpoint = request.attempts.back().endpoint;
    if (request.has_reservation || nodes_.role_of(latest_endpoint) == Role::prefill)
      tokens += request.prompt_tokens;
  }
  return tokens;
}

// Returns the lowest load of any decode node by the time the request is prefilled: the present load, the
// prompt of the request, and an even part of all prompts in prefill. Each other router is assumed to prefill
// as much as this one does on average.
double AdmissionController::projected_min_decode_load(const RequestState& request) {
  const double in_flight = prefill_tokens_in_flight();
  mean_prefill_in_flight_.add(in_flight, context_.now(), in_flight_sample_weight);
  double memory = 0;  // tokens
  double lowest = load_without_nodes;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.is_ready() || node.role() == Role::prefill)
      continue;
    memory += node.kv_cache_tokens();
    const double own_part = request.prompt_tokens / std::max(1.0, node.kv_cache_tokens());
    lowest = std::min(lowest, estimators_.decode_loads.load(node) + own_part);
  }
  const double others_in_flight = mean_prefill_in_flight_.value * (context_.settings().router_count - 1);
  return lowest + (in_flight + others_in_flight) / std::max(1.0, memory);
}

AdmissionController::Limits AdmissionController::limits_for(const RequestState& request,
                                                            const Selection& selection) const {
  const double relative_weight =
      request.class_settings->priority_weight /
      std::max(min_priority_weight, context_.active_settings().max_priority_weight());
  const double relative_priority =
      relative_weight * (request.over_quota ? context_.settings().over_quota_priority_weight : 1);
  const double share = guaranteed_limit_share + (1 - guaranteed_limit_share) * std::sqrt(relative_priority);
  const double objective = request.latency_objective;
  const double allowed_wait = std::max(objective - selection.prefill_time, objective / 2);
  return {.wait = wait_safety_factor * allowed_wait * share, .load = full_load * share};
}

// Returns the estimated wait of a request in microseconds. Where nodes report no load, the recent time to
// first token stands for the wait at decode nodes. Both estimates must decay with age: a router that
// estimates long waits sheds all requests, so it would send nothing and never measure that waits are shorter
// again.
double AdmissionController::estimated_wait(const Selection& selection) const {
  const double decode_wait =
      context_.settings().report_x0_is_memory ? 0 : estimators_.decode_loads.recent_time_to_first_token();
  return selection.queue_wait * estimators_.prefill_times.overall_confidence() + decode_wait;
}

bool AdmissionController::should_shed(const RequestState& request, const Selection& selection) {
  const double load = projected_min_decode_load(request);
  const bool resumes_stream = (request.request.flags & RequestFlag::resumed_stream) != 0;
  // Shedding a resumed stream would waste the work already done for it.
  if (!estimators_.prefill_times.knows_any_time_per_token() || resumes_stream)
    return false;
  const Limits limits = limits_for(request, selection);
  const double wait = estimated_wait(selection);
  const bool shed = wait > limits.wait || load > limits.load;
  if (shed)
    context_.report_choice(Choice{.id = request.request.id,
                                  .at = context_.now(),
                                  .shed = true,
                                  .estimated_wait = from_microseconds(wait),
                                  .max_wait = from_microseconds(limits.wait),
                                  .load = load,
                                  .max_load = limits.load});
  return shed;
}

Micros AdmissionController::retry_after(double queue_wait) const {
  const Settings& settings = context_.settings();
  if (!settings.retry_after_allowed)
    return Micros(0);
  const double min_delay = to_microseconds(context_.memory_duration()) / retry_after_divisor;
  return std::min(settings.max_retry_after, from_microseconds(std::max(queue_wait, min_delay)));
}

}  // namespace lemonroute::decisions
