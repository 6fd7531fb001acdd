/// \file
/// Starts attempts. It is the only place that sends a request to a node, and checks the platform's rules 1 to
/// 4 whatever was chosen before. It owns no state. Used on the serving thread only.
#pragma once

#include "module/context.h"
#include "module/endpoint_filter.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/request_state.h"
#include "module/request_table.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Sends attempts and sets the timers after which they are overdue.
class AttemptStarter {
 public:
  /// Keeps the references, which must outlive it.
  AttemptStarter(Context& context, NodeRegistry& nodes, RequestTable& requests, Estimators& estimators,
                 const EndpointFilter& filter)
      : context_(context), nodes_(nodes), requests_(requests), estimators_(estimators), filter_(filter) {}

  /// Sends a request to the endpoint selected. Returns false, and does nothing, where a rule forbids the
  /// attempt. `expected_time` is in microseconds, from now to the attempt's first result.
  [[nodiscard]] bool start_attempt(RequestState& request, const Selection& selection, double expected_time);

  /// Sets the timer that makes AttemptPolicy check in `delay` microseconds whether the attempt is overdue. A
  /// shorter delay than the timers' resolution is raised to it.
  void start_overdue_timer(const AttemptRef& attempt, double delay);

 private:
  [[nodiscard]] bool is_allowed(const RequestState& request, const Node& node) const;
  [[nodiscard]] Attempt describe_attempt(const RequestState& request, const Node& node,
                                         const Selection& selection, double prefill_rate,
                                         double expected_time) const;
  void record_attempt(const RequestState& request, Node& node, const Attempt& attempt, double prefill_rate);

  Context& context_;
  NodeRegistry& nodes_;
  RequestTable& requests_;
  Estimators& estimators_;
  const EndpointFilter& filter_;
};

}  // namespace lemonroute::decisions
