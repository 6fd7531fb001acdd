/// \file
/// One reservation that is being released, and the calls for it. Used on the serving thread only. All times
/// are on the core's clock.
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

/// One release call under way. Destroying it closes the call.
struct ReleaseCall {
  std::uint64_t number = 0;     ///< unique within one ReservationReleaser
  EndpointId endpoint = 0;      ///< the node that is called
  Micros sent_at{};             ///< when the call began
  bool during_attempt = false;  ///< a decode attempt of the request was under way when the call began
  std::unique_ptr<Call> call;   ///< the call under way
};

/// What a request has left reserved and has to be released. The release is finished once any node has
/// acknowledged a call, and each holder whose prefill was cut without an answer has acknowledged one itself
/// or has restarted.
struct PendingRelease {
  RequestId request = 0;                                ///< the request, which may not be open any more
  std::string id;                                       ///< the client's id, by which nodes know the request
  std::vector<ReservationHolder> holders;               ///< never empty while the release is pending
  Micros since{};                                       ///< when it was ordered
  Micros expires_at{};                                  ///< when it is abandoned
  Micros due_at{};                                      ///< by when a call has to have arrived
  std::size_t tries = 0;                                ///< calls made
  std::map<EndpointId, std::size_t> calls_by_endpoint;  ///< calls made, by the node they went to
  bool arrived = false;  ///< a node acknowledged a call with no attempt under way
  /// The number of the attempt that was under way when a node last acknowledged a call.
  std::optional<std::uint16_t> notified_during_attempt;
  std::vector<ReleaseCall> calls;  ///< under way, the oldest first
  ScopedTimer timer;               ///< of the next try

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
