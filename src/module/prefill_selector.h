/// \file
/// Chooses the prefill node by Mooncake's Algorithm 1: the lowest sum of estimated wait and prefill time of
/// the uncached tokens. Owns no state. Used on the serving thread only.
#pragma once

#include <optional>
#include <vector>

#include "module/choice_explainer.h"
#include "module/context.h"
#include "module/endpoint_filter.h"
#include "module/estimators.h"
#include "module/pool_statistics.h"
#include "module/request_state.h"
#include "module/selection.h"

namespace lemonroute::decisions {

/// Chooses prefill nodes, and mixed nodes for both stages.
class PrefillSelector {
 public:
  /// Keeps the references, which must outlive it.
  PrefillSelector(const Context& context, const Estimators& estimators, PoolStatistics& pools,
                  const EndpointFilter& filter, ChoiceExplainer& explainer)
      : context_(context), estimators_(estimators), pools_(pools), filter_(filter), explainer_(explainer) {}

  /// Returns the endpoint with the lowest score, or nothing if none is eligible. `excluded` is an endpoint
  /// that must not be chosen, or 0.
  [[nodiscard]] std::optional<Selection> choose(const RequestState& request, EndpointId excluded = 0);

  /// Returns the idle prefill node that would finish first, if it meets the latency objective. Used for a
  /// request whose prefix is cached at a node with a long queue: otherwise every turn of its session would be
  /// rejected although other nodes are idle. Requires that choose() has refreshed the averages in the same
  /// event.
  [[nodiscard]] std::optional<Selection> choose_idle(const RequestState& request);

 private:
  void estimate(const Node& node, const RequestState& request, Selection& selection) const;
  [[nodiscard]] const char* score(const Node& node, const RequestState& request,
                                  const std::vector<EndpointId>& affinity_nodes, Selection& selection) const;
  [[nodiscard]] const char* add_answer_score(const Node& node, const RequestState& request,
                                             Selection& selection) const;
  [[nodiscard]] std::optional<Selection> choose_best(const RequestState& request, EndpointId excluded,
                                                     const EndpointFilter::ScoreFunction& score);

  const Context& context_;
  const Estimators& estimators_;
  PoolStatistics& pools_;
  const EndpointFilter& filter_;
  ChoiceExplainer& explainer_;
};

}  // namespace lemonroute::decisions
