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
  RequestId id = 0;
  Micros timeout{};  ///< 0: until the client gives up
  EndpointId endpoint = 0;
};

/// Answer that the request was not served and may be sent again without harm.
struct RejectRequest {
  RequestId id = 0;
  Micros retry_after{};  ///< 0: no Retry-After
};

/// Answer that the request has failed.
struct FailRequest {
  RequestId id = 0;
};

/// Cancel an attempt that has not begun to answer.
struct CancelAttempt {
  RequestId id = 0;
  std::uint16_t attempt = 0;
};

/// Deliver TimerFired with this id after a delay.
struct StartTimer {
  std::uint32_t timer_id = 0;
  Micros delay{};
};

/// Send a health check to an endpoint.
struct Probe {
  EndpointId endpoint = 0;
};

/// Close the idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint = 0;
};

/// Send a message to another router.
struct SendPeerMessage {
  std::uint32_t to = 0;
  std::string payload;
};

/// Write a line to the log.
struct Log {
  std::string line;
};

/// Open or close the watch of the endpoint list.
struct Subscribe {
  bool on = true;
};

/// Fetch the full endpoint list.
struct Snapshot {};

/// Give up capacity that was reserved for a request ahead of its attempt.
struct EvictReservation {
  RequestId id = 0;
};

/// Reserve capacity at an endpoint for a request ahead of its attempt.
struct ReserveCapacity {
  RequestId id = 0;
  EndpointId endpoint = 0;
};

/// Release the KV cache that a prefill of the request has left reserved at its endpoint.
struct ReleaseReservation {
  RequestId id = 0;
};

using Action = std::variant<Send, RejectRequest, FailRequest, CancelAttempt, StartTimer, Probe,
                            CloseIdleConnections, SendPeerMessage, Log, Subscribe, Snapshot, EvictReservation,
                            ReserveCapacity, ReleaseReservation>;

}  // namespace lemonroute
