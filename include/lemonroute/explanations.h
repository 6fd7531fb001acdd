/// \file
/// Explanations: the estimates by which a Scheduler chose an endpoint, for diagnosis and for expectations.
#pragma once

#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// The Scheduler's estimates for one endpoint at the time of a choice.
struct Candidate {
  EndpointId endpoint = 0;                 ///< endpoint that the estimates describe
  const char* exclusion_reason = nullptr;  ///< why it was not eligible, in static storage; null: eligible
  double recorded_cached_tokens = 0;       ///< prompt tokens cached there, as recorded
  /// Prompt tokens cached there as the score counts them: recorded, or assumed because of cache affinity.
  double assumed_cached_tokens = 0;
  double prefill_time_per_token = 0;  ///< microseconds per prompt token
  double queued_tokens = 0;           ///< prompt tokens queued there
  double load = 0;                    ///< share of KV cache memory in use, as a decode node
  double latency_ratio = 1;           ///< time to first token against the usual one, as a decode node
  double failure_ratio = 0;           ///< share of recent attempts that failed, 0 to 1
  Micros queue_wait{};                ///< estimated wait of this request before its prefill
  Micros prefill_time{};              ///< estimated time of this request's prefill
  int proximity = 0;                  ///< to the node that holds the KV cache: 1 in its zone, 2 in its cell
  double score = 0;  ///< lowest is chosen; of decode nodes, the nearest among those close to the lowest
};

/// One choice of an endpoint, or one early rejection of a request.
struct Choice {
  RequestId id = 0;            ///< request that the choice is for
  Micros at{};                 ///< time of the choice, on the Scheduler's clock
  Role stage = Role::prefill;  ///< stage that the endpoint was chosen for: Role::prefill or Role::decode
  EndpointId excluded = 0;     ///< excluded because the previous attempt was sent there; 0: none
  EndpointId chosen = 0;       ///< chosen endpoint; 0: none was eligible
  bool shed = false;           ///< whether the request was rejected early, because of the values below
  Micros estimated_wait{},     ///< if `shed`: estimated wait of the request
      max_wait{};              ///< if `shed`: longest wait at which the request would have been sent
  double load = 0,             ///< if `shed`: projected load of the least loaded decode node
      max_load = 0;            ///< if `shed`: highest load at which the request would have been sent
  std::vector<Candidate> candidates{};  ///< all known endpoints, by ascending id; empty if `shed`
};

}  // namespace lemonroute
