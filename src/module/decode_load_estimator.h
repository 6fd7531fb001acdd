/// \file
/// Estimates the load and the latency of decode nodes. Owns DecodeHistory of each node, the averages of each
/// role, and the time to first token and rejection ratio over all decode nodes. Used on the serving thread
/// only.
#pragma once

#include <optional>

#include "estimation/decaying_average.h"
#include "module/context.h"
#include "module/load_report.h"
#include "module/node_registry.h"
#include "module/outlier_detector.h"
#include "module/request_table.h"
#include "module/role_table.h"

namespace lemonroute::decisions {

/// Share of its KV cache memory in use from which a decode node counts as full. The rest is left for growing
/// answers and for attempts of other routers that are not in a load report yet.
inline constexpr double full_load = 0.9;

/// Differences of load up to this share of KV cache memory are within the error of the estimates.
inline constexpr double load_tolerance = 0.12;

/// Whether a decode node admitted an attempt.
enum class AdmissionResult {
  admitted,  ///< the node served the attempt
  rejected,  ///< the node had no capacity for it
};

/// Estimates the load of decode nodes from this router's own streams and from load reports.
class DecodeLoadEstimator {
 public:
  /// Keeps the references, which must outlive it.
  DecodeLoadEstimator(const Context& context, const NodeRegistry& nodes, const RequestTable& requests,
                      const OutlierDetector& outliers)
      : context_(context), nodes_(nodes), requests_(requests), outliers_(outliers) {}

  /// Returns the share of the node's KV cache memory in use: by this router's streams, and by other routers
  /// as reported. The less recent evidence from the node there is, the more the average of its role counts
  /// instead. May exceed 1.
  [[nodiscard]] double load(const Node& node) const;
  /// Returns the confidence in the node's own reports of other routers' load, 0 to 1.
  [[nodiscard]] double load_confidence(const Node& node) const;

  /// Returns the ratio of the node's time to first token to the usual one, at least 1.
  [[nodiscard]] double latency_ratio(const Node& node) const;
  /// Returns the decode nodes' usual time to first token in microseconds, or nothing before the first one.
  [[nodiscard]] std::optional<double> usual_time_to_first_token() const;
  /// Returns usual_time_to_first_token() decayed by age: it falls to 0 while no stream starts.
  [[nodiscard]] double recent_time_to_first_token() const;

  /// Records a stream that began `elapsed` microseconds after its attempt was sent.
  void record_time_to_first_token(Node& node, double elapsed);
  /// Records whether a decode node admitted an attempt.
  void record_admission(AdmissionResult result);
  /// Records from a load report how much memory other routers use at the node.
  void record_load_report(Node& node, const LoadReport& report);

  /// Recomputes the averages of each role.
  void refresh_pool_averages();

 private:
  [[nodiscard]] double own_load(const Node& node) const;
  [[nodiscard]] double mean_other_routers_load(Role role) const;

  const Context& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  const OutlierDetector& outliers_;

  estimation::DecayingAverage time_to_first_token_;           // microseconds, over all decode nodes
  estimation::DecayingAverage rejection_ratio_{0, {}, true};  // of attempts at decode nodes, 0 to 1
  bool load_was_reported_ = false;                            // by any decode node so far
  RoleTable<double> mean_other_routers_load_;                 // share of KV cache memory, over ready nodes
};

}  // namespace lemonroute::decisions
