#include "module/outcome_recorder.h"

#include <algorithm>

#include "estimation/conversions.h"
#include "module/load_report.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

bool is_served(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::prefill_done;
}

// Returns whether an outcome counts as a failure of the node. A timeout after the first token does not: the
// client's time was too short for the answer.
bool is_node_failure(Outcome outcome, const Attempt& attempt) {
  switch (outcome) {
    case Outcome::error:
    case Outcome::reset:
    case Outcome::connect_failed:
      return true;
    case Outcome::timeout:
      return !attempt.started;
    default:
      return false;
  }
}

}  // namespace

void OutcomeRecorder::record_first_result(Node& node, const Attempt& attempt, double elapsed) {
  if (attempt.stage == AttemptStage::prefill)
    estimators_.prefill_times.record_prefill_time(node, attempt, elapsed);
  else
    estimators_.decode_loads.record_time_to_first_token(node, elapsed);
}

void OutcomeRecorder::record_prefill(const RequestState& request, Attempt& attempt, Node& node,
                                     const AttemptCompleted& completed) {
  const double cached_tokens = std::min<double>(completed.cached_tokens, request.prompt_tokens);
  estimators_.prefix_cache.verify_cached_tokens(node, attempt, cached_tokens);
  if (request.prompt_tokens > 0)
    estimators_.prefill_times.record_uncached_share(1 - cached_tokens / request.prompt_tokens);
  attempt.uncached_tokens = std::max(0.0, request.prompt_tokens - cached_tokens);
  if (!attempt.started)
    estimators_.prefill_times.record_prefill_time(node, attempt, to_microseconds(completed.elapsed));
  estimators_.prefix_cache.record_cached_prefix(request, attempt.endpoint);
}

void OutcomeRecorder::record_attempt_outcome(const RequestState& request, Attempt& attempt, Node& node,
                                             const AttemptCompleted& completed) {
  requests_.remove_outstanding(node, {completed.id, completed.attempt});
  const Outcome outcome = completed.outcome;
  const bool served = is_served(outcome);
  const bool failed = is_node_failure(outcome, attempt);
  if (served || failed)
    estimators_.outliers.record_outcome(node, failed ? NodeVerdict::failed : NodeVerdict::succeeded);
  if (outcome == Outcome::rejected_over_capacity || outcome == Outcome::connect_failed)
    estimators_.slow_start.record_not_run(node, request.prompt_tokens);
  if (served && attempt.stage == AttemptStage::prefill)
    record_prefill(request, attempt, node, completed);
  else if (!attempt.started && (served || (attempt.cancelled && !request.ended)))
    // An attempt that was cancelled as overdue would have taken at least this long.
    record_first_result(node, attempt, to_microseconds(completed.elapsed));
  const bool rejected =
      outcome == Outcome::rejected_over_capacity && completed.cached_tokens != reservation_lost;
  if (attempt.stage == AttemptStage::decode && (served || rejected))
    estimators_.decode_loads.record_admission(rejected ? AdmissionResult::rejected
                                                       : AdmissionResult::admitted);
  record_load_report(node, completed.load_report);
}

void OutcomeRecorder::record_health_result(Node& node, const HealthResult& result) {
  const bool healthy = result.outcome == Outcome::ok;
  estimators_.outliers.record_outcome(node, healthy ? NodeVerdict::succeeded : NodeVerdict::failed);
  record_load_report(node, result.load_report);
}

void OutcomeRecorder::record_load_report(Node& node, const std::vector<float>& columns) {
  const LoadReport report = context_.active_settings().decode_load_report(columns);
  estimators_.decode_loads.record_load_report(node, report);
  estimators_.prefill_times.record_load_report(node, report);
}

}  // namespace lemonroute::decisions
