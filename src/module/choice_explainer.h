/// \file
/// Explains choices to their observer (`expect` and diagnosis). It owns the explanation that is being built,
/// and does nothing while nobody observes choices. Used on the serving thread only.
#pragma once

#include "lemonroute/explanations.h"
#include "module/context.h"
#include "module/estimators.h"
#include "module/request_state.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Builds one Choice at a time: begin(), then add() for each node, then report().
class ChoiceExplainer {
 public:
  /// Keeps the references, which must outlive it.
  ChoiceExplainer(const Context& context, const Estimators& estimators)
      : context_(context), estimators_(estimators) {}

  /// Begins the explanation of a choice. `excluded` is the endpoint that must not be chosen, or 0.
  void begin(const RequestState& request, Role stage, EndpointId excluded);

  /// Adds a node. `exclusion_reason` says why it can't be chosen, in static storage, and the selection is
  /// ignored then; it is null where the node can be chosen.
  void add(const Node& node, const RequestState& request, const Selection& selection,
           const char* exclusion_reason);

  /// Passes the explanation to its observer. `chosen` is the endpoint chosen, or 0.
  void report(EndpointId chosen);

 private:
  const Context& context_;
  const Estimators& estimators_;
  Choice choice_;
};

}  // namespace lemonroute::decisions
