/// \file
/// Admission control: decides which requests are shed before their prefill, and when their clients should
/// retry. Owns the average of this router's prefills in flight. Used on the serving thread only.
#pragma once

#include "estimation/decaying_average.h"
#include "module/context.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/request_state.h"
#include "module/request_table.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Sheds requests that would miss their latency objective or for which all decode nodes would be full.
class AdmissionController {
 public:
  /// Keeps the references, which must outlive it.
  AdmissionController(const Context& context, const NodeRegistry& nodes, const RequestTable& requests,
                      const Estimators& estimators)
      : context_(context), nodes_(nodes), requests_(requests), estimators_(estimators) {}

  /// Returns whether to reject a request instead of sending it to `selection`, and reports a rejection to the
  /// choice observer. A request is shed for its wait or for the load of decode nodes, never for the length of
  /// its own prefill, and never before a prefill was measured. The lower its priority, the lower the limits.
  [[nodiscard]] bool should_shed(const RequestState& request, const Selection& selection);

  /// Returns the Retry-After for a rejected request with an estimated wait of `queue_wait` microseconds, or 0
  /// if the settings allow none.
  [[nodiscard]] Micros retry_after(double queue_wait) const;

 private:
  struct Limits {
    double wait = 0;  // microseconds
    double load = 0;  // share of KV cache memory
  };

  [[nodiscard]] double prefill_tokens_in_flight() const;
  [[nodiscard]] double projected_min_decode_load(const RequestState& request);
  [[nodiscard]] Limits limits_for(const RequestState& request, const Selection& selection) const;
  [[nodiscard]] double estimated_wait(const Selection& selection) const;

  const Context& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  const Estimators& estimators_;
  estimation::DecayingAverage mean_prefill_in_flight_{
      0, {}, true};  // prompt tokens; sampled at each admission check
};

}  // namespace lemonroute::decisions
