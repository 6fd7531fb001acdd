#include "core/router/release_schedule.h"

#include <algorithm>

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros::rep calls_per_timeout = 8;           // calls that start within the release timeout
constexpr Micros::rep call_timeout_intervals = 3;      // timeout of a call, in intervals between calls
constexpr Micros::rep other_nodes_timeouts = 8;        // how long other nodes are called, in release timeouts
constexpr Micros default_timeout = seconds(1);         // if the settings state no release timeout
constexpr Micros min_call_period = milliseconds(160);  // minimum time for calls_per_timeout calls
constexpr Micros max_interval = seconds(1);            // between two calls, after the release timeout
constexpr Micros max_shutdown_interval = milliseconds(40);  // between two calls, after the shutdown deadline
// The platform kills the process 500 ms after the shutdown deadline; the remaining 200 ms are for other work.
constexpr Micros release_time_after_shutdown = milliseconds(300);

}  // namespace

ReleaseSchedule::ReleaseSchedule(const RouterContext& context, const NodeRegistry& nodes)
    : context_(context), nodes_(nodes) {}

Micros ReleaseSchedule::release_timeout() const {
  const Micros configured = context_.settings.reservation_release_timeout;
  return configured > Micros(0) ? configured : default_timeout;
}

Micros ReleaseSchedule::release_due_at(Micros idle_since) const {
  return idle_since + release_timeout() / 2;
}

Micros ReleaseSchedule::call_timeout() const {
  return release_timeout() * call_timeout_intervals / calls_per_timeout;
}

// The calls are spread evenly over the time until the release is due; the second one is made sooner if the
// last contact with the holder was a failure. After the release timeout, or when only hanging holders are
// left to call, the intervals become longer.
Micros ReleaseSchedule::retry_interval(const PendingRelease& pending) const {
  const Micros now = context_.now();
  // Little time is left before the process ends, so more nodes are called, at shorter intervals.
  if (shutdown_deadline_ && now >= *shutdown_deadline_)
    return std::min(release_timeout() / calls_per_timeout, max_shutdown_interval);
  if (pending.acknowledged)
    return std::min(release_timeout() / (notifies_other_nodes(pending) ? 4 : 2), max_interval);
  const Micros period = std::clamp(pending.due_at - pending.since, min_call_period, release_timeout());
  const Micros interval = period / calls_per_timeout;
  if (pending.calls_made <= 1 && nodes_.failed_at_last_contact(pending.holders.front().endpoint))
    return interval / 2;
  const auto timeouts_passed = (now - pending.since) / release_timeout();
  return std::min(interval * (1 + timeouts_passed), std::max(interval, max_interval));
}

// A hanging holder may resume briefly, complete its prefill and become unreachable again. Therefore other
// nodes are called in turn with the holder for a limited time, since each node forwards a release.
bool ReleaseSchedule::notifies_other_nodes(const PendingRelease& pending) const {
  return context_.now() - pending.since < release_timeout() * other_nodes_timeouts;
}

void ReleaseSchedule::limit_to_shutdown(PendingRelease& pending) const {
  if (shutdown_deadline_)
    pending.expires_at = std::min(pending.expires_at, *shutdown_deadline_ + release_time_after_shutdown);
}

}  // namespace lemonroute
