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

// Part of the allowed wait that an estimated wait may use: real waits are longer, since this router learns of
// other routers' attempts late.
constexpr double wait_safety_factor = 0.8;
// Load that stands for a fleet without decode nodes; it is above every limit.
constexpr double load_without_nodes = 1e9;
// Part of the limits that holds for a request of priority weight 0. The rest is added in proportion to the
// square root of the request's weight against the largest weight of all classes.
constexpr double guaranteed_limit_share = 0.5;
constexpr double min_priority_weight = 1e-9;  // keeps the ratio of two weights defined
// The tokens in flight change with every request, so their mean follows a sample slowly.
constexpr double in_flight_sample_weight = estimation::usual_sample_weight / 4;
// The least Retry-After, as a part of the time for which evidence lasts: an earlier retry would find the same
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

// The lowest load of a decode node by the time the request is prefilled: its present load, and its part of
// the prompts that are being prefilled. Each other router is assumed to prefill as much as this one does on
// average.
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
  const double value =
      relative_weight * (request.over_quota ? context_.settings().over_quota_priority_weight : 1);
  const double share = guaranteed_limit_share + (1 - guaranteed_limit_share) * std::sqrt(value);
  const double objective = request.latency_objective;
  const double time_to_wait = std::max(objective - selection.prefill_time, objective / 2);
  return {.wait = wait_safety_factor * time_to_wait * share, .load = full_load * share};
}

// The wait that a request is judged by, in microseconds. Where nodes report no load, the wait at decode nodes
// is the recent time to first token. Both estimates have to decay with their age: a router that believes in
// long waits sheds everything, so it sends nothing and would never measure shorter waits.
double AdmissionController::estimated_wait(const Selection& selection) const {
  const double decode_wait =
      context_.settings().report_x0_is_memory ? 0 : estimators_.decode_loads.recent_time_to_first_token();
  return selection.queue_wait * estimators_.prefill_times.overall_confidence() + decode_wait;
}

bool AdmissionController::should_shed(const RequestState& request, const Selection& selection) {
  const double load = projected_min_decode_load(request);
  const bool resumes_stream = (request.request.flags & RequestFlag::resumed_stream) != 0;
  if (!estimators_.prefill_times.knows_any_rate() ||
      resumes_stream)  // a resumed stream has been worked on already
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
  const double least = to_microseconds(context_.memory_duration()) / retry_after_divisor;
  return std::min(settings.max_retry_after, from_microseconds(std::max(queue_wait, least)));
}

}  // namespace lemonroute::decisions
