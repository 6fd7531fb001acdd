/// \file
/// Outlier detection: which nodes get no requests because attempts failed there, and how overdue the attempts
/// at a node are. Owns FailureHistory of each node and the number of outliers by role. Used on the serving
/// thread only.
#pragma once

#include "module/context.h"
#include "module/node_registry.h"
#include "module/request_table.h"
#include "module/role_table.h"

namespace lemonroute::decisions {

/// The result of an attempt or a health check, as far as the node is responsible for it.
enum class NodeVerdict {
  succeeded,  ///< the node served the attempt or the health check
  failed,     ///< the node failed
};

/// Tracks a failure ratio for each node and ejects the nodes where it is high.
class OutlierDetector {
 public:
  /// Keeps the references, which must outlive it.
  OutlierDetector(Context& context, const NodeRegistry& nodes, const RequestTable& requests)
      : context_(context), nodes_(nodes), requests_(requests) {}

  /// Returns the share of recent attempts that failed, 0 to 1: an exponentially weighted average that decays
  /// to 0 while no attempt is made.
  [[nodiscard]] double failure_ratio(const Node& node) const;

  /// Returns whether the node is ejected: no request is sent there. The ejection ends when the failure ratio
  /// has decayed below the threshold. No node is ejected while more than half of the ready nodes of its role
  /// are over the threshold, because the others could not serve the whole load.
  [[nodiscard]] bool is_ejected(const Node& node) const;

  /// Records the result of an attempt or a health check at a node.
  void record_outcome(Node& node, NodeVerdict verdict);

  /// Returns the largest ratio of elapsed time to Attempt::overdue_after among the attempts of a stage that
  /// await their first result at the node, or 0 without such attempts.
  [[nodiscard]] double overdue_ratio(const Node& node, AttemptStage stage) const;

  /// Recounts the outliers of each role.
  void refresh_pool_averages();

 private:
  Context& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  RoleTable<double> nodes_over_threshold_;  // ready nodes, whether ejected or not
};

}  // namespace lemonroute::decisions
