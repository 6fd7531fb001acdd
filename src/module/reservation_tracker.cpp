#include "module/reservation_tracker.h"

#include <cstdint>

#include "lemonroute/actions.h"

namespace lemonroute::decisions {

void ReservationTracker::record_reservation(RequestState& request, EndpointId endpoint) {
  request.has_reservation = true;
  request.reservation_endpoint = endpoint;
}

void ReservationTracker::record_no_reservation(RequestState& request) {
  request.has_reservation = false;
}

void ReservationTracker::release_reservation(RequestState& request) {
  context_.emit(ReleaseReservation{request.request.id});
  request.has_reservation = false;
}

void ReservationTracker::cancel_attempt(RequestState& request, std::size_t index) {
  Attempt& attempt = request.attempts[index];
  if (!context_.settings().cancellation_allowed)
    return;
  if (!attempt.outstanding || attempt.started || attempt.cancelled)
    return;
  attempt.cancelled = true;
  context_.emit(CancelAttempt{request.request.id, static_cast<std::uint16_t>(index)});
}

void ReservationTracker::cancel_attempts(RequestState& request) {
  for (std::size_t index = 0; index < request.attempts.size(); ++index)
    cancel_attempt(request, index);
}

void ReservationTracker::release_resources(RequestState& request) {
  cancel_attempts(request);
  if (request.outstanding_attempts() == 0 && request.has_reservation)
    release_reservation(request);
}

}  // namespace lemonroute::decisions
