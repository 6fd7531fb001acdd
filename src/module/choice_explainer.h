/// \file
/// Explains choices to the choice observer, for `expect` and for diagnosis. Owns the explanation under
/// construction. Does nothing without an observer. Used on the serving thread only.
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

  /// Adds a node. `exclusion_reason` states why the node is not eligible, in static storage; the selection is
  /// ignored then. It is null for an eligible node.
  void add(const Node& node, const RequestState& request, const Selection& selection,
           const char* exclusion_reason);

  /// Passes the explanation to the observer. `chosen` is the chosen endpoint, or 0.
  void report(EndpointId chosen);

 private:
  const Context& context_;
  const Estimators& estimators_;
  Choice choice_;
};

}  // namespace lemonroute::decisions
