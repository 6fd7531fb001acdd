/// \file
/// Estimates the prefill time per token of each node, the prompt tokens queued there, and the wait of a new
/// prompt. Owns PrefillHistory of each node and the averages of each role. Used on the serving thread only.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "estimation/decaying_average.h"
#include "estimation/running_median.h"
#include "module/context.h"
#include "module/load_report.h"
#include "module/mixed_prefill_throttle.h"
#include "module/node_registry.h"
#include "module/outlier_detector.h"
#include "module/request_table.h"
#include "module/role_table.h"
#include "module/workload_statistics.h"

namespace lemonroute::decisions {

/// Estimates prefill times and queues from this router's own prefills and from load reports.
class PrefillTimeEstimator {
 public:
  /// Keeps the references, which must outlive it.
  PrefillTimeEstimator(const Context& context, const NodeRegistry& nodes, const RequestTable& requests,
                       const OutlierDetector& outliers, const WorkloadStatistics& workload,
                       const MixedPrefillThrottle& mixed_prefills)
      : context_(context),
        nodes_(nodes),
        requests_(requests),
        outliers_(outliers),
        workload_(workload),
        mixed_prefills_(mixed_prefills) {}

  /// Returns the microseconds that the node takes per prompt token. A node without recent prefills counts as
  /// usual for its role, so that a slow node is tried again after a while. An overdue prefill raises the
  /// estimate before it ends.
  [[nodiscard]] double prefill_time_per_token(const Node& node) const;
  /// Returns the confidence in the node's own samples of prefill_time_per_token(), 0 to 1.
  [[nodiscard]] double prefill_time_per_token_confidence(const Node& node) const;

  /// Returns the prompt tokens queued at the node. `time_per_token` is prefill_time_per_token() of the node.
  [[nodiscard]] double queued_tokens(const Node& node, double time_per_token) const;
  /// Returns the part of queued_tokens() that this router has sent.
  [[nodiscard]] double own_queued_tokens(const Node& node, double time_per_token) const;

  /// Returns the microseconds that a prompt sent now would wait until its prefill begins.
  [[nodiscard]] double queue_wait(const Node& node) const;
  /// Returns the mean of queue_wait() over the ready nodes of a role that prefills, in microseconds.
  [[nodiscard]] double mean_queue_wait(Role role) const { return pools_[role].mean_queue_wait; }

  /// Returns the usual microseconds per prompt token of a role, or nothing before the first prefill of the
  /// role.
  [[nodiscard]] std::optional<double> usual_time_per_token(Role role) const;
  /// Returns whether any prefill of any role was measured.
  [[nodiscard]] bool knows_any_time_per_token() const { return last_usual_time_per_token_.known; }
  /// Returns the confidence in the time per token over all nodes, 0 to 1.
  [[nodiscard]] double overall_confidence() const;

  /// Records a prefill that took `elapsed` microseconds from its sending, including its time in the queue.
  void record_prefill_time(Node& node, const Attempt& attempt, double elapsed);
  /// Records the share of a prompt that was not cached, 0 to 1.
  void record_uncached_share(double share);
  /// Records from a load report how much other routers have queued at the node.
  void record_load_report(Node& node, const LoadReport& report);

  /// Returns the usual microseconds per prompt token of each role that has samples.
  [[nodiscard]] std::vector<std::pair<Role, double>> usual_times_per_token() const;
  /// Adopts the usual times per token of another process for the roles for which this one has few samples.
  void adopt_usual_times_per_token(Micros now, const std::vector<std::pair<Role, double>>& times_per_token);

  /// Recomputes the averages of each role. Requires up-to-date averages of OutlierDetector.
  void refresh_pool_averages();

 private:
  // The averages over the ready nodes of one role.
  struct PoolAverages {
    double time_per_token = 0;               // microseconds per prompt token
    double other_routers_queued_tokens = 0;  // prompt tokens
    double mean_queue_wait = 0;              // microseconds; 0 for decode nodes
  };

  [[nodiscard]] double mean_other_routers_queue(Role role) const;
  [[nodiscard]] double compute_mean_queue_wait(Role role) const;
  [[nodiscard]] double default_time_per_token() const;

  const Context& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  const OutlierDetector& outliers_;
  const WorkloadStatistics& workload_;
  const MixedPrefillThrottle& mixed_prefills_;

  std::map<Role, estimation::RunningMedian> usual_time_per_token_;  // microseconds per prompt token
  estimation::DecayingAverage last_usual_time_per_token_;           // of the role of the latest prefill
  RoleTable<estimation::DecayingAverage>
      unreported_queue_;  // other routers' prompt tokens per node, derived from waits
  estimation::DecayingAverage uncached_share_{1, {}, true};  // of a prompt, 0 to 1
  RoleTable<PoolAverages> pools_;
};

}  // namespace lemonroute::decisions
