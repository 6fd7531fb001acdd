/// \file
/// Actions: everything that a Scheduler can ask of the program around it, to be carried out in their order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "lemonroute/types.h"

namespace lemonroute {

/// Send the request to an endpoint, as its next attempt.
struct Send {
  RequestId id = 0;         ///< open request
  Micros timeout{};         ///< 0: until the client gives up
  EndpointId endpoint = 0;  ///< listed endpoint
};

/// Answer that the request was not served and may be sent again without harm.
struct RejectRequest {
  RequestId id = 0;      ///< open request; not to be sent again by this router
  Micros retry_after{};  ///< 0: no Retry-After
};

/// Answer that the request has failed.
struct FailRequest {
  RequestId id = 0;  ///< open request; not to be sent again by this router
};

/// Cancel an attempt that has not begun to answer.
struct CancelAttempt {
  RequestId id = 0;           ///< request of the attempt; an AttemptCompleted still follows
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
};

/// Deliver TimerFired with this id after a delay.
struct StartTimer {
  std::uint32_t timer_id = 0;  ///< chosen by the Scheduler; has no meaning to the caller
  Micros delay{};              ///< from the event that the action answers
};

/// Send a health check to an endpoint.
struct Probe {
  EndpointId endpoint = 0;  ///< listed endpoint; a HealthResult follows
};

/// Close the idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint = 0;  ///< listed endpoint
};

/// Send a message to another router.
struct SendPeerMessage {
  std::uint32_t to = 0;  ///< number of the receiving router
  std::string payload;   ///< not interpreted by the caller
};

/// Write a line to the log.
struct Log {
  std::string line;  ///< without a line end
};

/// Open or close the watch of the endpoint list.
struct Subscribe {
  bool on = true;  ///< true: open the watch, or poll once where the list is polled; false: close it
};

/// Fetch the full endpoint list.
struct Snapshot {};

/// Give up capacity that was reserved for a request ahead of its attempt.
struct EvictReservation {
  RequestId id = 0;  ///< request that the capacity was reserved for
};

/// Reserve capacity at an endpoint for a request ahead of its attempt.
struct ReserveCapacity {
  RequestId id = 0;         ///< open request; a ReservationUpdate follows
  EndpointId endpoint = 0;  ///< listed endpoint
};

/// Release the KV cache that a prefill of the request has left reserved at its endpoint.
struct ReleaseReservation {
  RequestId id = 0;  ///< request that the KV cache belongs to; its client may have left
};

/// Any one action.
using Action = std::variant<Send, RejectRequest, FailRequest, CancelAttempt, StartTimer, Probe,
                            CloseIdleConnections, SendPeerMessage, Log, Subscribe, Snapshot, EvictReservation,
                            ReserveCapacity, ReleaseReservation>;

}  // namespace lemonroute
