/// \file
/// Chooses the node that streams an answer: of the least loaded nodes, the nearest to the KV cache. Owns no
/// state. Used on the serving thread only.
#pragma once

#include <optional>

#include "module/choice_explainer.h"
#include "module/endpoint_filter.h"
#include "module/estimators.h"
#include "module/node_registry.h"
#include "module/pool_statistics.h"
#include "module/request_state.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Chooses decode nodes, and mixed nodes for the decode stage.
class DecodeSelector {
 public:
  /// Keeps the references, which must outlive it.
  DecodeSelector(const NodeRegistry& nodes, const Estimators& estimators, PoolStatistics& pools,
                 const EndpointFilter& filter, ChoiceExplainer& explainer)
      : nodes_(nodes), estimators_(estimators), pools_(pools), filter_(filter), explainer_(explainer) {}

  /// Returns the chosen endpoint, or nothing if none is eligible. `excluded` is an endpoint that must not be
  /// chosen, or 0.
  [[nodiscard]] std::optional<Selection> choose(const RequestState& request, EndpointId excluded = 0);

 private:
  [[nodiscard]] double score(const Node& node, const RequestState& request) const;
  [[nodiscard]] int proximity(const Node& node, const RequestState& request) const;

  const NodeRegistry& nodes_;
  const Estimators& estimators_;
  PoolStatistics& pools_;
  const EndpointFilter& filter_;
  ChoiceExplainer& explainer_;
};

}  // namespace lemonroute::decisions
