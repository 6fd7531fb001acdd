// What a request holds at nodes, and when it is let go: its attempts, and the KV cache that waits (rule 5).
#pragma once

#include "state.h"

namespace lemonroute::decisions {

inline void release_reservation(SchedulerState& s, RequestState& job) {
  s.emit(ReleaseReservation{job.request.id});
  job.has_reservation = false;
}
inline void cancel_attempt(SchedulerState& s, RequestState& job, std::size_t index) {
  auto& a = job.attempts[index];
  if (!s.settings.cancellation_allowed || !a.outstanding || a.started || a.cancelled) return;
  a.cancelled = true;
  s.emit(CancelAttempt{job.request.id, static_cast<std::uint16_t>(index)});
}
inline void cancel_attempts(SchedulerState& s, RequestState& job) {
  for (std::size_t i = 0; i < job.attempts.size(); ++i) cancel_attempt(s, job, i);
}

// Lets go of what an ended request holds; its outstanding attempts are cancelled first.
inline void release_resources(SchedulerState& s, RequestState& job) {
  cancel_attempts(s, job);
  if (job.outstanding_attempts() == 0 && job.has_reservation) release_reservation(s, job);
}

inline void erase_if_finished(SchedulerState& s, RequestId id) {
  const RequestState* job = lookup(s.requests, id);
  if (job && job->ended && job->outstanding_attempts() == 0 && !job->has_reservation) s.requests.erase(id);
}

}  // namespace lemonroute::decisions
