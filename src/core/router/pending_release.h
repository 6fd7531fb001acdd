/// \file
/// The release of one request's reservations, and the calls for it. Used on the serving thread only. All
/// times are on the core's clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/router/request_state.h"
#include "core/router/scoped_timer.h"

namespace lemonroute {

/// One release call in progress. Destroying it closes the call.
struct ReleaseCall {
  std::uint64_t number = 0;     ///< unique within one ReservationReleaser
  EndpointId endpoint = 0;      ///< the node that is called
  Micros sent_at{};             ///< when the call was sent
  bool during_attempt = false;  ///< a decode attempt of the request was in progress when the call was sent
  std::unique_ptr<Call> call;   ///< the call; null until it is made
};

/// The release of everything that a request has left reserved. It is complete once any node has acknowledged
/// a call, and each holder whose prefill was interrupted without an answer has acknowledged a call itself or
/// has restarted.
struct PendingRelease {
  RequestId request = 0;                   ///< the request, which may be closed already
  std::string id;                          ///< the client's id of the request, which nodes use
  std::vector<ReservationHolder> holders;  ///< nodes still to release; not empty while the release is pending
  Micros since{};                          ///< when the release was requested
  Micros expires_at{};                     ///< when the release is abandoned
  Micros due_at{};                         ///< the time by which a call has to arrive
  std::size_t calls_made = 0;              ///< number of calls made
  std::map<EndpointId, std::size_t> calls_by_endpoint;  ///< number of calls made to each node
  bool acknowledged = false;  ///< a node acknowledged a call while no attempt was in progress
  /// The number of the attempt that was in progress when a node last acknowledged a call during an attempt.
  std::optional<std::uint16_t> acknowledged_during_attempt;
  std::vector<ReleaseCall> calls;  ///< calls in progress, the oldest first
  ScopedTimer timer;               ///< runs the next call

  /// Returns the number of calls that this release has made to the node.
  [[nodiscard]] std::size_t calls_to(EndpointId endpoint) const {
    const auto found = calls_by_endpoint.find(endpoint);
    return found == calls_by_endpoint.end() ? 0 : found->second;
  }
  /// Returns whether the node is one of the holders.
  [[nodiscard]] bool is_held_at(EndpointId endpoint) const {
    for (const ReservationHolder& holder : holders)
      if (holder.endpoint == endpoint)
        return true;
    return false;
  }
};

}  // namespace lemonroute
