/// \file
/// What requests hold at nodes, and when it is released (rule 5 of the platform): outstanding attempts, and
/// the KV cache that a prefill node keeps until a decode node has fetched it. The state itself is in
/// RequestState. Used on the serving thread only.
#pragma once

#include <cstddef>

#include "module/context.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// Cancels attempts and releases reserved KV caches. The only writer of RequestState::has_reservation,
/// RequestState::reservation_endpoint and Attempt::cancelled.
class ReservationTracker {
 public:
  /// Keeps the reference, which must outlive it.
  explicit ReservationTracker(Context& context) : context_(context) {}

  /// Records that a prefill is done and its node holds the request's KV cache.
  void record_reservation(RequestState& request, EndpointId endpoint);
  /// Records that no node holds the request's KV cache any more: a decode node has fetched it, or it was
  /// lost.
  void record_no_reservation(RequestState& request);

  /// Asks the prefill node to free the request's KV cache.
  void release_reservation(RequestState& request);

  /// Cancels an attempt that is outstanding and has not begun to answer, where the settings allow it. Any
  /// other attempt is left alone.
  void cancel_attempt(RequestState& request, std::size_t index);
  /// Cancels all such attempts of a request.
  void cancel_attempts(RequestState& request);

  /// Releases what an ended request holds. While attempts are outstanding the KV cache stays, because one
  /// of them may be fetching it.
  void release_resources(RequestState& request);

 private:
  Context& context_;
};

}  // namespace lemonroute::decisions
