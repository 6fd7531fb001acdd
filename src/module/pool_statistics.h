/// \file
/// Refreshes the averages over the nodes of each role, at most once per event and before its first choice.
/// Each average belongs to the estimator that computes it. Used on the serving thread only.
#pragma once

#include "module/estimators.h"

namespace lemonroute::decisions {

/// Decides when the estimators recompute their averages.
class PoolStatistics {
 public:
  /// Keeps the reference, which must outlive it. The averages are out of date at first.
  explicit PoolStatistics(Estimators& estimators) : estimators_(estimators) {}

  /// Marks the averages as out of date. Called at the beginning of each event.
  void invalidate() { is_current_ = false; }

  /// Recomputes the averages if they are out of date. Must be called before each choice, and before an
  /// attempt is started or estimates of a node are read. The averages stay the same within one event, even if
  /// the event starts attempts, so that all nodes are compared by the same averages.
  void refresh();

 private:
  Estimators& estimators_;
  bool is_current_ = false;
};

}  // namespace lemonroute::decisions
