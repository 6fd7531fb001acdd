/// \file
/// Tells the estimators what an attempt or a health check has shown of its node. It owns no state. Used on
/// the serving thread only.
#pragma once

#include <vector>

#include "lemonroute/events.h"
#include "module/context.h"
#include "module/estimators.h"
#include "module/request_state.h"
#include "module/request_table.h"

namespace lemonroute::decisions {

/// Turns results into samples for the estimators.
class OutcomeRecorder {
 public:
  /// Keeps the references, which must outlive it.
  OutcomeRecorder(const Context& context, RequestTable& requests, Estimators& estimators)
      : context_(context), requests_(requests), estimators_(estimators) {}

  /// Records that an attempt has had its first result, `elapsed` microseconds after it was sent.
  void record_first_result(Node& node, const Attempt& attempt, double elapsed);

  /// Records that an attempt has ended, and removes it from those outstanding at its node.
  void record_attempt_outcome(const RequestState& request, Attempt& attempt, Node& node,
                              const AttemptCompleted& completed);

  /// Records a health check's result, and a load report that came with it.
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
