/// \file
/// The open requests, and the timers after which their attempts are overdue. Owns both, and the list of
/// outstanding attempts in the record of each node. Used on the serving thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "module/node.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// Owns all open requests.
class RequestTable {
 public:
  /// Adds a request that has arrived and returns its state, which is valid until the request is erased.
  RequestState& open(const Request& request);

  /// Returns an open request, or null if there is none. The pointer is valid until the request is erased.
  [[nodiscard]] RequestState* find(RequestId id);
  /// Returns an open request, which must exist.
  [[nodiscard]] const RequestState& at(RequestId id) const { return requests_.at(id); }
  /// Returns an attempt of an open request; both must exist.
  [[nodiscard]] const Attempt& attempt(const AttemptRef& ref) const {
    return at(ref.request).attempts[ref.attempt];
  }
  /// Returns all open requests by id.
  [[nodiscard]] const std::map<RequestId, RequestState>& all() const { return requests_; }

  /// Adds an outstanding attempt to a request and to the record of the node that it is sent to.
  AttemptRef add_attempt(RequestState& request, Node& node, const Attempt& attempt);
  /// Removes an attempt from the outstanding attempts of a node.
  void remove_outstanding(Node& node, const AttemptRef& ref);

  /// Erases a request if it has ended and has neither outstanding attempts nor a KV cache.
  void erase_if_finished(RequestId id);

  /// Registers a timer for an attempt and returns its id, which is never 0.
  [[nodiscard]] std::uint32_t register_timer(const AttemptRef& ref);
  /// Returns the attempt that an expired timer was registered for, and removes the timer.
  [[nodiscard]] std::optional<AttemptRef> take_timer(std::uint32_t timer_id);

 private:
  std::map<RequestId, RequestState> requests_;
  std::map<std::uint32_t, AttemptRef> timers_;  // by timer id
  std::uint32_t next_timer_id_ = 1;
};

}  // namespace lemonroute::decisions
