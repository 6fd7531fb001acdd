/// \file
/// Starts attempts. No other class sends a request to a node. Rules 1 to 4 of the platform are checked here,
/// even if the choice of the node has checked them before. Owns no state. Used on the serving thread only.
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

  /// Sends a request to the selected endpoint. Returns false without any effect if a rule forbids the
  /// attempt. `expected_time` is the time from now to the first result of the attempt, in microseconds.
  [[nodiscard]] bool start_attempt(RequestState& request, const Selection& selection, double expected_time);

  /// Starts the timer after which AttemptPolicy checks whether the attempt is overdue. `delay` is in
  /// microseconds, and at least the resolution of timers is used.
  void start_overdue_timer(const AttemptRef& attempt, double delay);

 private:
  [[nodiscard]] bool is_allowed(const RequestState& request, const Node& node) const;
  [[nodiscard]] Attempt describe_attempt(const RequestState& request, const Node& node,
                                         const Selection& selection, double time_per_token,
                                         double expected_time) const;
  void record_attempt(const RequestState& request, Node& node, const Attempt& attempt, double time_per_token);

  Context& context_;
  NodeRegistry& nodes_;
  RequestTable& requests_;
  Estimators& estimators_;
  const EndpointFilter& filter_;
};

}  // namespace lemonroute::decisions
