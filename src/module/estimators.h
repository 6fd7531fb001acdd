/// \file
/// All estimators of the state of nodes and requests. Each has private state. The selectors read them as
/// const; OutcomeRecorder and AttemptStarter update them.
#pragma once

#include "module/context.h"
#include "module/decode_load_estimator.h"
#include "module/mixed_prefill_throttle.h"
#include "module/node_registry.h"
#include "module/outlier_detector.h"
#include "module/prefill_time_estimator.h"
#include "module/prefix_cache_index.h"
#include "module/request_table.h"
#include "module/slow_start_limiter.h"
#include "module/workload_statistics.h"

namespace lemonroute::decisions {

/// Owns the estimators of one Scheduler. Each may read those declared before it.
struct Estimators {
  /// Keeps the references, which must outlive it.
  Estimators(Context& context, const NodeRegistry& nodes, const RequestTable& requests)
      : outliers(context, nodes, requests),
        workload(context),
        mixed_prefills(context, nodes),
        prefill_times(context, nodes, requests, outliers, workload, mixed_prefills),
        decode_loads(context, nodes, requests, outliers),
        slow_start(context, nodes, workload, prefill_times),
        prefix_cache(context, nodes, slow_start) {}
  /// Not copyable or movable, because the estimators refer to each other.
  Estimators(const Estimators&) = delete;
  /// See the copy constructor.
  Estimators& operator=(const Estimators&) = delete;

  OutlierDetector outliers;             ///< how often attempts fail at a node
  WorkloadStatistics workload;          ///< arrival rate and prompt lengths
  MixedPrefillThrottle mixed_prefills;  ///< limits the prefills at mixed nodes
  PrefillTimeEstimator prefill_times;   ///< time per prompt token and queue of a node
  DecodeLoadEstimator decode_loads;     ///< load and latency of a node as a decode node
  SlowStartLimiter slow_start;          ///< limits the work sent to nodes in slow start
  PrefixCacheIndex prefix_cache;        ///< which prefixes a node has cached
};

}  // namespace lemonroute::decisions
