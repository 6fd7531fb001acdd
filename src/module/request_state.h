/// \file
/// The state of one open request and its attempts. RequestTable owns it. AttemptPolicy, AttemptStarter,
/// OutcomeRecorder and ReservationTracker change it; all other classes only read it.
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

/// The first stage that an attempt requests from its node.
enum class AttemptStage {
  prefill,  ///< prefill the prompt; a mixed node then streams the answer as well
  decode,   ///< fetch the KV cache of an earlier prefill and stream the answer
};

/// Identifies one attempt of one request.
struct AttemptRef {
  RequestId request = 0;      ///< an open request
  std::uint16_t attempt = 0;  ///< index into RequestState::attempts
};

/// One attempt, outstanding or ended.
struct Attempt {
  EndpointId endpoint = 0;                    ///< endpoint that it was sent to
  AttemptStage stage = AttemptStage::decode;  ///< first stage at the node
  Micros sent_at{};                           ///< time on the Scheduler's clock
  Micros first_token_at{};                    ///< time on the Scheduler's clock; valid if `started`
  double queue_ahead = 0;                     ///< prompt tokens queued at the node when the attempt was sent
  double other_routers_queue = 0;             ///< the part of `queue_ahead` that other routers have sent
  double uncached_tokens = 0;                 ///< prompt tokens that the node has to compute
  double expected_cached_tokens = 0;          ///< prompt tokens cached at the node according to the records
  double overdue_after = 1;                   ///< microseconds after `sent_at` from which it is overdue
  bool outstanding = true;                    ///< its AttemptCompleted has not arrived yet
  bool started = false;                       ///< its first token has arrived
  bool cancelled = false;                     ///< a CancelAttempt was emitted for it
};

/// A request, from its arrival until it is answered and has no attempts or KV cache left at any node.
struct RequestState {
  Request request{};  ///< the event with which it arrived
  /// The class settings at the arrival of the request. A settings update does not change them.
  std::shared_ptr<const ClassSettings> class_settings{};
  std::uint32_t max_attempts = 1;       ///< Settings::max_attempts at its arrival
  double prompt_tokens = 0;             ///< Request::prompt_tokens, sanitized: finite and at least 0
  double shared_prefix_tokens = 0;      ///< at most `prompt_tokens`
  Micros deadline{};                    ///< on the Scheduler's clock
  double latency_objective = 0;         ///< microseconds to the first token
  bool over_quota = false;              ///< it exceeded the quota of its tenant at its arrival
  bool ended = false;                   ///< it was answered, or its client has disconnected
  bool has_reservation = false;         ///< a prefill node holds its KV cache
  EndpointId reservation_endpoint = 0;  ///< that prefill node; valid while `has_reservation`
  std::optional<std::size_t> first_executed_attempt{};  ///< the first attempt that may have run
  std::vector<Attempt> attempts{};                      ///< all attempts so far, in the order of sending

  /// Returns the number of outstanding attempts.
  [[nodiscard]] std::ptrdiff_t outstanding_attempts() const {
    return std::ranges::count_if(attempts, &Attempt::outstanding);
  }
  /// Returns whether any attempt, outstanding or ended, was sent to the endpoint.
  [[nodiscard]] bool was_sent_to(EndpointId endpoint) const {
    return std::ranges::count(attempts, endpoint, &Attempt::endpoint) > 0;
  }
};

}  // namespace lemonroute::decisions
