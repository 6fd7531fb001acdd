/// \file
/// The state of one open request and of its attempts. RequestTable owns it. AttemptPolicy and the classes
/// that it drives (AttemptStarter, OutcomeRecorder, ReservationTracker) change it; all others read it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "lemonroute/events.h"
#include "lemonroute/settings.h"

namespace lemonroute::decisions {

/// What an attempt asks of its node first.
enum class AttemptStage {
  prefill,  ///< read the prompt; a mixed node then streams the answer as well
  decode,   ///< fetch the KV cache of an earlier prefill and stream the answer
};

/// Names one attempt of one request.
struct AttemptRef {
  RequestId request = 0;      ///< an open request
  std::uint16_t attempt = 0;  ///< index into RequestState::attempts
};

/// One attempt, outstanding or ended.
struct Attempt {
  EndpointId endpoint = 0;                    ///< that it was sent to
  AttemptStage stage = AttemptStage::decode;  ///< what it asks of the node first
  Micros sent_at{};                           ///< on the Scheduler's clock
  Micros first_token_at{};                    ///< on the Scheduler's clock; valid once `started`
  double queue_ahead = 0;                     ///< prompt tokens queued at the node when the attempt was sent
  double other_routers_queue = 0;             ///< the part of `queue_ahead` that other routers have sent
  double uncached_tokens = 0;                 ///< prompt tokens that the node has to read
  double expected_cached_tokens = 0;          ///< prompt tokens that the node should have cached, as recorded
  double overdue_after = 1;                   ///< microseconds after `sent_at`
  bool outstanding = true;                    ///< its AttemptCompleted has not come yet
  bool started = false;                       ///< its first token has arrived
  bool cancelled = false;                     ///< a CancelAttempt was emitted for it
};

/// A request, from its arrival until it is answered and holds nothing at any node.
struct RequestState {
  Request request{};  ///< as it arrived
  /// The terms in force when the request arrived; a change of settings does not change them.
  std::shared_ptr<const ClassSettings> class_settings{};
  std::uint32_t max_attempts = 1;       ///< Settings::max_attempts when the request arrived
  double prompt_tokens = 0;             ///< Request::prompt_tokens, made finite and at least 0
  double shared_prefix_tokens = 0;      ///< at most `prompt_tokens`
  Micros deadline{};                    ///< on the Scheduler's clock
  double latency_objective = 0;         ///< microseconds to the first token
  bool over_quota = false;              ///< it exceeded its tenant's quota when it arrived
  bool ended = false;                   ///< answered, or its client has left
  bool has_reservation = false;         ///< a prefill node holds its KV cache
  EndpointId reservation_endpoint = 0;  ///< that prefill node; valid while `has_reservation`
  std::optional<std::size_t> first_executed_attempt{};  ///< the first attempt that may have run
  std::vector<Attempt> attempts{};                      ///< all so far, in the order in which they were sent

  /// Returns how many attempts have not ended.
  [[nodiscard]] std::ptrdiff_t outstanding_attempts() const {
    return std::ranges::count_if(attempts, &Attempt::outstanding);
  }
  /// Returns whether any attempt, outstanding or ended, was sent to the endpoint.
  [[nodiscard]] bool was_sent_to(EndpointId endpoint) const {
    return std::ranges::count(attempts, endpoint, &Attempt::endpoint) > 0;
  }
};

}  // namespace lemonroute::decisions
