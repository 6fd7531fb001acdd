/// \file
/// Outlier detection: which nodes get no requests because attempts failed there, and how late attempts at a
/// node are. It owns FailureHistory of each node and the number of outliers by role. Used on the serving
/// thread only.
#pragma once

#include "module/context.h"
#include "module/node_registry.h"
#include "module/request_table.h"
#include "module/role_table.h"

namespace lemonroute::decisions {

/// Whether a node did what it was asked.
enum class NodeVerdict {
  succeeded,  ///< it served the attempt, or the health check
  failed,     ///< it did not, for a reason that lies with the node
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

  /// Returns whether the node is ejected: no request is sent there. An ejected node is back as soon as its
  /// failure ratio has decayed below the threshold. No node is ejected while more than half of the ready
  /// nodes of its role are over the threshold, since the others could not take the whole load.
  [[nodiscard]] bool is_ejected(const Node& node) const;

  /// Counts the result of an attempt or of a health check at a node.
  void record_outcome(Node& node, NodeVerdict verdict);

  /// Returns by how much the latest of the attempts that wait for their first result at the node exceeds its
  /// time: elapsed time against Attempt::overdue_after, 0 without attempts of that stage.
  [[nodiscard]] double overdue_ratio(const Node& node, AttemptStage stage) const;

  /// Counts the outliers of each role anew.
  void refresh_pool_averages();

 private:
  Context& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  RoleTable<double> nodes_over_threshold_;  // ready nodes, whether ejected or not
};

}  // namespace lemonroute::decisions
