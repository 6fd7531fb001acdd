/// \file
/// The estimators: what this router knows of nodes and requests. It owns them all; each has its own private
/// state. Classes that choose get them as const and change nothing; OutcomeRecorder and AttemptStarter tell
/// them what has happened.
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

/// All estimators of one Scheduler. Each may read those declared before it.
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
  /// Neither copied nor moved, since the estimators refer to each other.
  Estimators(const Estimators&) = delete;
  /// See the copy constructor.
  Estimators& operator=(const Estimators&) = delete;

  OutlierDetector outliers;             ///< how often attempts fail at a node
  WorkloadStatistics workload;          ///< what requests are like
  MixedPrefillThrottle mixed_prefills;  ///< how much prefill a mixed node may do
  PrefillTimeEstimator prefill_times;   ///< how fast a node prefills, and its queue
  DecodeLoadEstimator decode_loads;     ///< how full a node is as a decode node
  SlowStartLimiter slow_start;          ///< how much a node that has just started may get
  PrefixCacheIndex prefix_cache;        ///< which prefixes a node has cached
};

}  // namespace lemonroute::decisions
