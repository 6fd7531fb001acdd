/// \file
/// Slow start: limits the work that this router sends to a node whose process has just started (rule 4 of the
/// platform: such a node can serve only a part of a warm node's load and fails under more). Owns
/// SentWorkHistory of each node and the work rate of warm nodes by role. Work is counted in prompt tokens.
/// Used on the serving thread only.
#pragma once

#include <utility>
#include <vector>

#include "module/context.h"
#include "module/node_registry.h"
#include "module/prefill_time_estimator.h"
#include "module/role_table.h"
#include "module/workload_statistics.h"

namespace lemonroute::decisions {

/// Limits the work sent to nodes in slow start, and records the work sent to all nodes.
class SlowStartLimiter {
 public:
  /// Keeps the references, which must outlive it.
  SlowStartLimiter(const Context& context, const NodeRegistry& nodes, const WorkloadStatistics& workload,
                   const PrefillTimeEstimator& prefill_times)
      : context_(context), nodes_(nodes), workload_(workload), prefill_times_(prefill_times) {}

  /// Returns whether the node's process started less than Settings::slow_start_duration ago.
  [[nodiscard]] bool in_slow_start(const Node& node) const;

  /// Returns whether `work` prompt tokens may be sent to the node now. Always true for a warm node.
  ///
  /// A node in slow start gets a part of the measured work rate of warm nodes of its role, summed over
  /// Settings::overload_window. An empty window admits one request, so that the node warms up; if this
  /// router's part is less than one request, a hash decides which router has the turn.
  [[nodiscard]] bool admits(const Node& node, double work) const;

  /// Counts an attempt sent to a node. `work` is the mean work of its class and counts towards the budget of
  /// the window; `prompt_tokens` is its own work and counts towards the node's work rate.
  void record_sent(Node& node, double work, double prompt_tokens);
  /// Subtracts an attempt that did not run from the work rate of its node. The attempt is sent again, so a
  /// node that rejects attempts would otherwise seem to serve several times its actual load.
  void record_not_run(Node& node, double prompt_tokens);

  /// Returns the work rate of each ready node that has one, in prompt tokens per microsecond.
  [[nodiscard]] std::vector<std::pair<EndpointId, double>> work_rates(Micros now) const;
  /// Adopts a node's work rate from another process, unless this one has sent work there within the window.
  void adopt_work_rate(Node& node, double rate, Micros now);

  /// Recomputes the work rate of warm nodes. Requires an up-to-date
  /// PrefillTimeEstimator::usual_time_per_token.
  void refresh_pool_averages();

 private:
  [[nodiscard]] double window_budget(const Node& node) const;
  [[nodiscard]] bool has_turn(const Node& node, double work, double budget) const;

  const Context& context_;
  const NodeRegistry& nodes_;
  const WorkloadStatistics& workload_;
  const PrefillTimeEstimator& prefill_times_;

  RoleTable<double> warm_work_rate_;  // prompt tokens per microsecond of a warm node; the last one known
};

}  // namespace lemonroute::decisions
