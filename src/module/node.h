/// \file
/// The record of one node. NodeRegistry owns all records and alone writes the data from the endpoint list.
/// Each estimator keeps what it has learned of the node in a part of the record that is private to that
/// estimator. When the node's process restarts, the whole record is replaced, so that nothing learned of the
/// old process applies to the new one.
#pragma once

#include <cstdint>
#include <vector>

#include "estimation/decaying_average.h"
#include "estimation/decaying_rate.h"
#include "estimation/sliding_window_sum.h"
#include "lemonroute/events.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// How often attempts failed at a node. Private to OutlierDetector.
class FailureHistory {
  friend class OutlierDetector;
  double failure_ratio_ = 0;  // 0 to 1, as of updated_at_
  Micros updated_at_{};
};

/// The work that this router has sent to a node. Private to SlowStartLimiter.
class SentWorkHistory {
  friend class SlowStartLimiter;
  mutable estimation::SlidingWindowSum recent_work_{};  // prompt tokens; reading drops old entries
  estimation::DecayingRate work_rate_{};                // admitted prompt tokens per microsecond
};

/// The prefill speed and the queue of a node. Private to PrefillTimeEstimator.
class PrefillHistory {
  friend class PrefillTimeEstimator;
  estimation::DecayingAverage time_per_token_{};               // microseconds per prompt token
  estimation::DecayingAverage other_routers_queued_tokens_{};  // prompt tokens, from load reports
  Micros last_prefill_done_{};
};

/// The prefill work that this router has sent to a mixed node. Private to MixedPrefillThrottle.
class MixedPrefillBacklog {
  friend class MixedPrefillThrottle;
  double work_ = 0;  // microseconds of prefill, as of updated_at_
  Micros updated_at_{};
};

/// The load and the latency of a node as a decode node. Private to DecodeLoadEstimator.
class DecodeHistory {
  friend class DecodeLoadEstimator;
  estimation::DecayingAverage latency_ratio_{};       // time to first token against the usual one
  estimation::DecayingAverage other_routers_load_{};  // share of KV cache memory, from load reports
};

/// Which records of prefixes cached at a node are valid. Private to PrefixCacheIndex.
class CacheRecordValidity {
 public:
  /// All records are valid.
  CacheRecordValidity() = default;
  /// Only records made after `valid_since` are valid.
  explicit CacheRecordValidity(Micros valid_since) : valid_since_(valid_since) {}

 private:
  friend class PrefixCacheIndex;
  Micros valid_since_{};
  int misses_in_a_row_ = 0;  // prefills that found far less cached than recorded
};

/// One node of the endpoint list, or one that was removed from the list and still has outstanding attempts.
class Node {
 public:
  /// Returns the endpoint's id, which a new process of the node keeps.
  [[nodiscard]] EndpointId id() const { return endpoint_.id; }
  /// See Endpoint::zone.
  [[nodiscard]] std::uint8_t zone() const { return endpoint_.zone; }
  /// See Endpoint::cell.
  [[nodiscard]] std::uint16_t cell() const { return endpoint_.cell; }
  /// Returns when the node's process started, on the Scheduler's clock; 0: long ago.
  [[nodiscard]] Micros process_started_at() const { return endpoint_.started_at; }
  /// Returns whether the node accepts new work, according to the endpoint list.
  [[nodiscard]] bool is_ready() const { return endpoint_.state == EndpointState::ready; }
  /// Returns the role of the node's machine kind, or Role::mixed if the settings state none.
  [[nodiscard]] Role role() const { return role_; }
  /// Returns the KV cache memory in tokens, or 0 if the settings do not state it.
  [[nodiscard]] double kv_cache_tokens() const { return kv_cache_tokens_; }
  /// Returns the KV cache memory in tokens, or a default size if the settings do not state it.
  [[nodiscard]] double kv_cache_tokens_or_default() const {
    return kv_cache_tokens_ > 0 ? kv_cache_tokens_ : default_kv_cache_tokens;
  }
  /// Returns the outstanding attempts, in the order in which they were sent.
  [[nodiscard]] const std::vector<AttemptRef>& outstanding() const { return outstanding_; }

  FailureHistory failures{};            ///< private to OutlierDetector
  SentWorkHistory sent_work{};          ///< private to SlowStartLimiter
  PrefillHistory prefill{};             ///< private to PrefillTimeEstimator
  MixedPrefillBacklog mixed_prefill{};  ///< private to MixedPrefillThrottle
  DecodeHistory decode{};               ///< private to DecodeLoadEstimator
  CacheRecordValidity cache_records{};  ///< private to PrefixCacheIndex

 private:
  friend class NodeRegistry;  // endpoint_, role_, kv_cache_tokens_
  friend class RequestTable;  // outstanding_

  static constexpr double default_kv_cache_tokens = 1e5;  // order of magnitude of a small accelerator

  Endpoint endpoint_{};
  Role role_ = Role::mixed;
  double kv_cache_tokens_ = 0;
  std::vector<AttemptRef> outstanding_{};
};

}  // namespace lemonroute::decisions
