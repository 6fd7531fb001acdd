#include "core/router/release_schedule.h"

#include <algorithm>

namespace lemonroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros::rep calls_per_timeout = 8;           // calls that start within the release timeout
constexpr Micros::rep max_calls_under_way = 3;         // so long a call may last, in intervals between calls
constexpr Micros::rep other_nodes_timeouts = 8;        // release timeouts in which other nodes are called
constexpr Micros default_timeout = seconds(1);         // where the settings state none
constexpr Micros min_call_period = milliseconds(160);  // for calls_per_timeout calls
constexpr Micros max_interval = seconds(1);            // between two calls, once the timeout has passed
constexpr Micros max_shutdown_interval = milliseconds(40);  // between two calls, once the process ends
// The platform kills the process 500 ms after the shutdown deadline; 200 ms are left to everything else.
constexpr Micros calls_after_shutdown = milliseconds(300);

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
  return release_timeout() * max_calls_under_way / calls_per_timeout;
}

// The calls are spread over the time until the release is due, and the second one follows sooner if the
// holder failed at the last contact. Later, or when only a holder that hangs is left to be told, they become
// slower.
Micros ReleaseSchedule::retry_interval(const PendingRelease& pending) const {
  const Micros now = context_.now();
  // A process that ends has little time left, so it calls more nodes, each for less long.
  if (shutdown_deadline_ && now >= *shutdown_deadline_)
    return std::min(release_timeout() / calls_per_timeout, max_shutdown_interval);
  if (pending.arrived)
    return std::min(release_timeout() / (notifies_other_nodes(pending) ? 4 : 2), max_interval);
  const Micros period = std::clamp(pending.due_at - pending.since, min_call_period, release_timeout());
  const Micros interval = period / calls_per_timeout;
  if (pending.tries <= 1 && nodes_.suspected(pending.holders.front().endpoint))
    return interval / 2;
  const auto timeouts_passed = (now - pending.since) / release_timeout();
  return std::min(interval * (1 + timeouts_passed), std::max(interval, max_interval));
}

// A holder that hangs may go on for a moment, complete its prefill and be cut off again. For a while the
// other nodes are called in turn with it, since each of them passes a release on.
bool ReleaseSchedule::notifies_other_nodes(const PendingRelease& pending) const {
  return context_.now() - pending.since < release_timeout() * other_nodes_timeouts;
}

void ReleaseSchedule::limit_to_shutdown(PendingRelease& pending) const {
  if (shutdown_deadline_)
    pending.expires_at = std::min(pending.expires_at, *shutdown_deadline_ + calls_after_shutdown);
}

}  // namespace lemonroute
