/// \file
/// Slow start: how much work this router may send to a node whose process has just started (rule 4 of the
/// platform: such a node collapses under more than a part of a warm node's load). It owns SentWorkHistory of
/// each node and the work rate of warm nodes by role. Work is counted in prompt tokens. Used on the serving
/// thread only.
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

  /// Returns whether the node's process has started so recently that it can't bear a warm node's load.
  [[nodiscard]] bool in_slow_start(const Node& node) const;

  /// Returns whether `work` prompt tokens may be sent to the node now. Always true for a node out of slow
  /// start.
  ///
  /// A node in slow start gets a part of the load that warm nodes of its role demonstrably bear, counted over
  /// Settings::overload_window and divided by the routers. Into an empty window one request is admitted, to
  /// warm the node up; where this router's part is less than one request, a hash decides whose turn it is.
  [[nodiscard]] bool admits(const Node& node, double work) const;

  /// Counts an attempt sent to a node. `work` is the mean work of its class and counts towards the budget of
  /// the window; `prompt_tokens` is its own work and counts towards the node's work rate.
  void record_sent(Node& node, double work, double prompt_tokens);
  /// Takes an attempt that did not run out of the node's work rate. The attempt is sent again, so a node that
  /// rejects attempts would otherwise seem to bear several times the load that it does.
  void record_not_run(Node& node, double prompt_tokens);

  /// Returns the work rate of each ready node that has one, in prompt tokens per microsecond.
  [[nodiscard]] std::vector<std::pair<EndpointId, double>> work_rates(Micros now) const;
  /// Adopts a node's work rate from another process, unless this one has sent work there within the window.
  void adopt_work_rate(Node& node, double rate, Micros now);

  /// Computes the work rate of warm nodes anew. Relies on PrefillTimeEstimator::usual_rate.
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
