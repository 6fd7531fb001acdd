/// \file
/// Resources of requests at nodes, and their release (rule 5 of the platform): outstanding attempts, and the
/// KV cache that a prefill node keeps until a decode node has fetched it. RequestState holds the state. Used
/// on the serving thread only.
#pragma once

#include <cstddef>

#include "module/context.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// Cancels attempts and releases reserved KV caches. No other class writes RequestState::has_reservation,
/// RequestState::reservation_endpoint or Attempt::cancelled.
class ReservationTracker {
 public:
  /// Keeps the reference, which must outlive it.
  explicit ReservationTracker(Context& context) : context_(context) {}

  /// Records that a prefill is done and that its node holds the KV cache of the request.
  void record_reservation(RequestState& request, EndpointId endpoint);
  /// Records that no node holds the KV cache of the request any more: a decode node has fetched it, or it was
  /// lost.
  void record_no_reservation(RequestState& request);

  /// Asks the prefill node to free the request's KV cache.
  void release_reservation(RequestState& request);

  /// Cancels an outstanding attempt that has not returned its first token, if the settings allow it. Does
  /// nothing for any other attempt.
  void cancel_attempt(RequestState& request, std::size_t index);
  /// Cancels all such attempts of a request.
  void cancel_attempts(RequestState& request);

  /// Cancels the attempts of an ended request and releases its KV cache. While attempts are outstanding the
  /// KV cache stays, because one of them may be fetching it.
  void release_resources(RequestState& request);

 private:
  Context& context_;
};

}  // namespace lemonroute::decisions
