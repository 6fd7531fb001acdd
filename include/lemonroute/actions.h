/// \file
/// Actions: what a Scheduler asks the program that embeds it to do. The caller executes them in their order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "lemonroute/types.h"

namespace lemonroute {

/// Send the request to an endpoint, as its next attempt.
struct Send {
  RequestId id = 0;         ///< open request
  Micros timeout{};         ///< of the attempt; 0: until the client gives up
  EndpointId endpoint = 0;  ///< endpoint of the current list
};

/// Answer that the request was not served and can safely be sent again.
struct RejectRequest {
  RequestId id = 0;      ///< open request; this router must not send it again
  Micros retry_after{};  ///< value of Retry-After; 0: none
};

/// Answer that the request has failed.
struct FailRequest {
  RequestId id = 0;  ///< open request; this router must not send it again
};

/// Cancel an attempt that has not returned its first token.
struct CancelAttempt {
  RequestId id = 0;           ///< request of the attempt; an AttemptCompleted still follows
  std::uint16_t attempt = 0;  ///< index among the request's attempts, from 0
};

/// Deliver TimerFired with this id after a delay.
struct StartTimer {
  std::uint32_t timer_id = 0;  ///< chosen by the Scheduler; opaque to the caller
  Micros delay{};              ///< counted from the event that caused the action
};

/// Send a health check to an endpoint.
struct Probe {
  EndpointId endpoint = 0;  ///< endpoint of the current list; a HealthResult follows
};

/// Close the idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint = 0;  ///< endpoint of the current list
};

/// Send a message to another router.
struct SendPeerMessage {
  std::uint32_t to = 0;  ///< index of the receiving router
  std::string payload;   ///< opaque to the caller
};

/// Write a line to the log.
struct Log {
  std::string line;  ///< text without a line break at its end
};

/// Open or close the watch of the endpoint list.
struct WatchEndpointList {
  bool open = true;  ///< true: open the watch, or poll once where the list is polled; false: close it
};

/// Fetch the full endpoint list.
struct FetchEndpointList {};

/// Release capacity that was reserved for a request ahead of its attempt.
struct EvictReservation {
  RequestId id = 0;  ///< request that has the reserved capacity
};

/// Reserve capacity at an endpoint for a request ahead of its attempt.
struct ReserveCapacity {
  RequestId id = 0;         ///< open request; a ReservationUpdate follows
  EndpointId endpoint = 0;  ///< endpoint of the current list
};

/// Release the KV cache that a prefill node holds for the request.
struct ReleaseReservation {
  RequestId id = 0;  ///< request that owns the KV cache; its client may have disconnected
};

/// Any action.
using Action = std::variant<Send, RejectRequest, FailRequest, CancelAttempt, StartTimer, Probe,
                            CloseIdleConnections, SendPeerMessage, Log, WatchEndpointList, FetchEndpointList,
                            EvictReservation, ReserveCapacity, ReleaseReservation>;

}  // namespace lemonroute
