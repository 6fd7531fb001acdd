#include "module/choice_explainer.h"

#include "estimation/conversions.h"

namespace lemonroute::decisions {

void ChoiceExplainer::begin(const RequestState& request, Role stage, EndpointId excluded) {
  if (!context_.observes_choices())
    return;
  choice_ = Choice{.id = request.request.id, .at = context_.now(), .stage = stage, .excluded = excluded};
}

void ChoiceExplainer::add(const Node& node, const RequestState& request, const Selection& selection,
                          const char* exclusion_reason) {
  if (!context_.observes_choices())
    return;
  const Selection shown = exclusion_reason ? Selection{.score = 0} : selection;
  const double time_per_token = estimators_.prefill_times.prefill_time_per_token(node);
  const bool prefills = choice_.stage == Role::prefill;
  choice_.candidates.push_back({
      .endpoint = node.id(),
      .exclusion_reason = exclusion_reason,
      .recorded_cached_tokens = prefills ? estimators_.prefix_cache.recorded_cached_tokens(node, request) : 0,
      .assumed_cached_tokens = shown.assumed_cached_tokens,
      .prefill_time_per_token = time_per_token,
      .queued_tokens = estimators_.prefill_times.queued_tokens(node, time_per_token),
      .load = estimators_.decode_loads.load(node),
      .latency_ratio = estimators_.decode_loads.latency_ratio(node),
      .failure_ratio = estimators_.outliers.failure_ratio(node),
      .queue_wait = estimation::from_microseconds(shown.queue_wait),
      .prefill_time = estimation::from_microseconds(shown.prefill_time),
      .proximity = shown.proximity,
      .score = shown.score,
  });
}

void ChoiceExplainer::report(EndpointId chosen) {
  if (!context_.observes_choices())
    return;
  choice_.chosen = chosen;
  context_.report_choice(choice_);
}

}  // namespace lemonroute::decisions
