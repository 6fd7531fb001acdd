/// \file
/// Passes the results of attempts and health checks to the estimators. Owns no state. Used on the serving
/// thread only.
#pragma once

#include <vector>

#include "lemonroute/events.h"
#include "module/context.h"
#include "module/estimators.h"
#include "module/request_state.h"
#include "module/request_table.h"

namespace lemonroute::decisions {

/// Converts results into samples for the estimators.
class OutcomeRecorder {
 public:
  /// Keeps the references, which must outlive it.
  OutcomeRecorder(const Context& context, RequestTable& requests, Estimators& estimators)
      : context_(context), requests_(requests), estimators_(estimators) {}

  /// Records the first result of an attempt, `elapsed` microseconds after the attempt was sent.
  void record_first_result(Node& node, const Attempt& attempt, double elapsed);

  /// Records the end of an attempt, and removes it from the outstanding attempts of its node.
  void record_attempt_outcome(const RequestState& request, Attempt& attempt, Node& node,
                              const AttemptCompleted& completed);

  /// Records the result of a health check and its load report, if any.
  void record_health_result(Node& node, const HealthResult& result);

 private:
  void record_prefill(const RequestState& request, Attempt& attempt, Node& node,
                      const AttemptCompleted& completed);
  void record_load_report(Node& node, const std::vector<float>& columns);

  const Context& context_;
  RequestTable& requests_;
  Estimators& estimators_;
};

}  // namespace lemonroute::decisions
