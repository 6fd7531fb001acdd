/// \file
/// Decides which nodes are eligible for a request. Owns no state. Used on the serving thread only.
#pragma once

#include <functional>
#include <vector>

#include "module/choice_explainer.h"
#include "module/context.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/request_state.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Applies the conditions that do not depend on a node's score.
class EndpointFilter {
 public:
  /// Sets the score of a selection and the estimates behind it. Returns null, or the reason why the node is
  /// not eligible, in static storage.
  using ScoreFunction = std::function<const char*(const Node& node, Selection& selection)>;

  /// Keeps the references, which must outlive it.
  EndpointFilter(const Context& context, const NodeRegistry& nodes, const Estimators& estimators,
                 ChoiceExplainer& explainer)
      : context_(context), nodes_(nodes), estimators_(estimators), explainer_(explainer) {}

  /// Returns the eligible endpoints with their scores, by ascending id, and begins the explanation of the
  /// choice. `stage` is Role::prefill or Role::decode; `excluded` is an endpoint that must not be chosen, or
  /// 0. `score` is called once for each node that meets all other conditions.
  [[nodiscard]] std::vector<Selection> eligible_endpoints(const RequestState& request, Role stage,
                                                          EndpointId excluded,
                                                          const ScoreFunction& score) const;

  /// Returns whether a request that may have run already may run at this node (rule 2 of the platform):
  /// always if it is idempotent, never if it is not; with an idempotency key, within the retry window and the
  /// retry scope of the node that may have run it first.
  [[nodiscard]] bool may_repeat_at(const Node& node, const RequestState& request) const;

 private:
  [[nodiscard]] const char* exclusion_reason(const Node& node, const RequestState& request, Role stage,
                                             EndpointId excluded) const;

  const Context& context_;
  const NodeRegistry& nodes_;
  const Estimators& estimators_;
  ChoiceExplainer& explainer_;
};

}  // namespace lemonroute::decisions
