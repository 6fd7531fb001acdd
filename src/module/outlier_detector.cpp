#include "module/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// Weight of a failed attempt in the failure ratio. It exceeds the threshold, so that the first failure ejects
// a node until the ratio has decayed: a node that refuses connections or returns errors at once looks idle
// and would attract requests.
constexpr double failure_weight = 0.4;
constexpr double ejection_threshold = 0.35;  // failure ratio from which a node is ejected

}  // namespace

double OutlierDetector::failure_ratio(const Node& node) const {
  const FailureHistory& failures = node.failures;
  const double age = to_microseconds(context_.now() - failures.updated_at_);
  return failures.failure_ratio_ * std::exp(-age / to_microseconds(context_.memory_duration()));
}

bool OutlierDetector::is_ejected(const Node& node) const {
  return failure_ratio(node) >= ejection_threshold &&
         2 * nodes_over_threshold_[node.role()] <= nodes_.ready_nodes(node.role());
}

void OutlierDetector::record_outcome(Node& node, NodeVerdict verdict) {
  const double before = failure_ratio(node);
  const double change = verdict == NodeVerdict::failed ? failure_weight * (1 - before)
                                                       : -estimation::usual_sample_weight * before;
  node.failures.failure_ratio_ = before + change;
  node.failures.updated_at_ = context_.now();
  if (before < ejection_threshold && node.failures.failure_ratio_ >= ejection_threshold)
    context_.emit(Log{"endpoint ejected: id=" + std::to_string(node.id()) + " reason=failed_attempts"});
}

double OutlierDetector::overdue_ratio(const Node& node, AttemptStage stage) const {
  double highest = 0;
  for (const AttemptRef& ref : node.outstanding()) {
    const Attempt& attempt = requests_.attempt(ref);
    if (attempt.stage != stage || attempt.started)
      continue;
    highest = std::max(highest, to_microseconds(context_.now() - attempt.sent_at) / attempt.overdue_after);
  }
  return highest;
}

void OutlierDetector::refresh_pool_averages() {
  nodes_over_threshold_ = {};
  for (const auto& [id, node] : nodes_.all())
    if (node.is_ready() && failure_ratio(node) >= ejection_threshold)
      nodes_over_threshold_[node.role()] += 1;
}

}  // namespace lemonroute::decisions
