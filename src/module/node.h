/// \file
/// The record of one node. NodeRegistry owns all records. What the endpoint list says of a node is written by
/// NodeRegistry alone; what this router has learned of it is kept in one part for each class that learns,
/// which is private to that class. A record is replaced as a whole when the node's process restarts, so that
/// nothing learned of the old process is applied to the new one.
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
  mutable estimation::SlidingWindowSum recent_work_{};  // prompt tokens; reading it drops what is too old
  estimation::DecayingRate work_rate_{};  // prompt tokens per microsecond that the node admitted
};

/// How fast a node reads prompts. Private to PrefillTimeEstimator.
class PrefillHistory {
  friend class PrefillTimeEstimator;
  estimation::DecayingAverage rate_{};                         // microseconds per prompt token
  estimation::DecayingAverage other_routers_queued_tokens_{};  // prompt tokens, from load reports
  Micros last_prefill_done_{};
};

/// The prefill work that this router has put on a mixed node. Private to MixedPrefillThrottle.
class MixedPrefillBacklog {
  friend class MixedPrefillThrottle;
  double work_ = 0;  // microseconds of prefill, as of updated_at_
  Micros updated_at_{};
};

/// How full and how slow a node is as a decode node. Private to DecodeLoadEstimator.
class DecodeHistory {
  friend class DecodeLoadEstimator;
  estimation::DecayingAverage latency_ratio_{};       // time to first token against the usual one
  estimation::DecayingAverage other_routers_load_{};  // share of KV cache memory, from load reports
};

/// How far records of prefixes cached at a node are valid. Private to PrefixCacheIndex.
class CacheRecordValidity {
 public:
  /// All records are valid.
  CacheRecordValidity() = default;
  /// Records made until `valid_since` are void.
  explicit CacheRecordValidity(Micros valid_since) : valid_since_(valid_since) {}

 private:
  friend class PrefixCacheIndex;
  Micros valid_since_{};
  int misses_in_a_row_ = 0;  // prefills that found far less cached than recorded
};

/// One node of the endpoint list, or one that has left the list and still has attempts outstanding.
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
  /// Returns whether the endpoint list last said that the node takes new work.
  [[nodiscard]] bool is_ready() const { return endpoint_.state == EndpointState::ready; }
  /// Returns the role of the node's machine kind; Role::mixed where the settings state none.
  [[nodiscard]] Role role() const { return role_; }
  /// Returns the KV cache memory in tokens, or 0 where the settings do not state it.
  [[nodiscard]] double kv_cache_tokens() const { return kv_cache_tokens_; }
  /// Returns the KV cache memory in tokens, or a usual size where the settings do not state it.
  [[nodiscard]] double kv_cache_tokens_or_default() const {
    return kv_cache_tokens_ > 0 ? kv_cache_tokens_ : default_kv_cache_tokens;
  }
  /// Returns the outstanding attempts, in the order in which they were sent.
  [[nodiscard]] const std::vector<AttemptRef>& outstanding() const { return outstanding_; }

  FailureHistory failures{};            ///< of OutlierDetector
  SentWorkHistory sent_work{};          ///< of SlowStartLimiter
  PrefillHistory prefill{};             ///< of PrefillTimeEstimator
  MixedPrefillBacklog mixed_prefill{};  ///< of MixedPrefillThrottle
  DecodeHistory decode{};               ///< of DecodeLoadEstimator
  CacheRecordValidity cache_records{};  ///< of PrefixCacheIndex

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
