// What a request holds at nodes, and when it is let go: its attempts, and the KV cache that waits (rule 5).
#pragma once

#include "state.h"

namespace lemonroute::decisions {

inline void release(State& s, Job& job) {
  s.act(Release{job.request.id});
  job.held = false;
}
inline void cancel(State& s, Job& job, std::size_t index) {
  auto& a = job.attempts[index];
  if (!s.settings.may_cancel || !a.out || a.started || a.cancelled) return;
  a.cancelled = true;
  s.act(Cancel{job.request.id, static_cast<std::uint16_t>(index)});
}
inline void cancel_all(State& s, Job& job) {
  for (std::size_t i = 0; i < job.attempts.size(); ++i) cancel(s, job, i);
}

// Lets go of what an ended request holds; its outstanding attempts are cancelled first.
inline void let_go(State& s, Job& job) {
  cancel_all(s, job);
  if (job.out() == 0 && job.held) release(s, job);
}

inline void forget(State& s, RequestId id) {
  const Job* job = lookup(s.jobs, id);
  if (job && job->ended && job->out() == 0 && !job->held) s.jobs.erase(id);
}

}  // namespace lemonroute::decisions
