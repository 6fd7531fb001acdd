/// \file
/// Explanations: what a Scheduler believed when it chose an endpoint, for diagnosis and for expectations.
#pragma once

#include <vector>

#include "lemonroute/types.h"

namespace lemonroute {

/// What the Scheduler believed of one endpoint when it made a choice.
struct Candidate {
  EndpointId endpoint = 0;                 ///< that the figures are of
  const char* exclusion_reason = nullptr;  ///< why it could not be chosen; null: it could. Static storage.
  double recorded_match = 0;               ///< prompt tokens cached there, as recorded
  /// Prompt tokens cached there, as the score counts them: recorded, or assumed by cache affinity.
  double assumed_match = 0;
  double prefill_rate = 0;   ///< microseconds per prompt token
  double queued_tokens = 0;  ///< prompt tokens queued there
  double load = 0;           ///< as a decode node: share of KV cache memory in use
  double latency_ratio = 1;  ///< as a decode node: time to first token against the usual one
  double failure_ratio = 0;  ///< share of recent attempts that failed, 0 to 1
  Micros queue_wait{};       ///< estimated wait of this request before its prefill
  Micros prefill_time{};     ///< estimated time of this request's prefill
  int proximity = 0;         ///< to the node that holds the KV cache: 1 in its zone, 2 in its cell
  double score = 0;          ///< the lowest wins; of decode nodes, the nearest of those near the lowest
};

/// One choice of an endpoint, or one rejection before any attempt.
struct Choice {
  RequestId id = 0;                     ///< request that the choice is for
  Micros at{};                          ///< on the Scheduler's clock
  Role stage = Role::prefill;           ///< the stage that an endpoint was chosen for
  EndpointId excluded = 0;              ///< not to be chosen, since the attempt before was there; 0: none
  EndpointId chosen = 0;                ///< 0: none could be chosen
  bool shed = false;                    ///< the request was rejected early, for the figures below
  Micros estimated_wait{},              ///< where `shed`: the wait that the request was judged by
      max_wait{};                       ///< where `shed`: the longest wait at which it would have been sent
  double load = 0,                      ///< where `shed`: projected load of the least loaded decode node
      max_load = 0;                     ///< where `shed`: the highest load at which it would have been sent
  std::vector<Candidate> candidates{};  ///< every endpoint on record, by ascending id; empty where `shed`
};

}  // namespace lemonroute
