/// \file
/// Keeps the averages over the nodes of each role up to date: at most once per event, before the event's
/// first choice. Each average belongs to the estimator that computes it. Used on the serving thread only.
#pragma once

#include "module/estimators.h"

namespace lemonroute::decisions {

/// Decides when the averages of all estimators are computed anew.
class PoolStatistics {
 public:
  /// Keeps the reference, which must outlive it. The averages count as out of date.
  explicit PoolStatistics(Estimators& estimators) : estimators_(estimators) {}

  /// Marks the averages as out of date. Called when an event begins.
  void invalidate() { is_current_ = false; }

  /// Computes the averages anew where they are out of date. Called before each choice, and before an attempt
  /// is started or a node's estimates are read. Within one event the averages do not change, although the
  /// event's attempts do, so that all nodes are compared by the same figures.
  void refresh();

 private:
  Estimators& estimators_;
  bool is_current_ = false;
};

}  // namespace lemonroute::decisions
