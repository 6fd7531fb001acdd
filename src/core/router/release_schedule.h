/// \file
/// The times at which release calls are made and abandoned. Used on the serving thread only. All times are on
/// the core's clock.
#pragma once

#include <optional>

#include "core/router/node_registry.h"
#include "core/router/pending_release.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Derives the times of release calls from Settings::reservation_release_timeout. Holds the shutdown
/// deadline, after which calls are made at shorter intervals.
class ReleaseSchedule {
 public:
  /// `context` and `nodes` must outlive this object.
  ReleaseSchedule(const RouterContext& context, const NodeRegistry& nodes);

  /// Sets the time shortly after which the process ends.
  void set_shutdown_deadline(Micros at) { shutdown_deadline_ = at; }
  /// Returns how long a reservation may be held while no attempt is in progress.
  [[nodiscard]] Micros release_timeout() const;
  /// Returns when the release calls for a reservation that has been idle since `idle_since` must start: after
  /// half of the release timeout, so that the other half remains for the calls.
  [[nodiscard]] Micros release_due_at(Micros idle_since) const;
  /// Returns how long a call may wait for an answer. A reachable node answers much sooner.
  [[nodiscard]] Micros call_timeout() const;
  /// Returns the time between the last call of this release and the next one.
  [[nodiscard]] Micros retry_interval(const PendingRelease& pending) const;
  /// Returns whether nodes other than the holders are still called after a node has acknowledged a call.
  [[nodiscard]] bool notifies_other_nodes(const PendingRelease& pending) const;
  /// Makes the release expire before the process ends, once a shutdown deadline is set.
  void limit_to_shutdown(PendingRelease& pending) const;

 private:
  const RouterContext& context_;
  const NodeRegistry& nodes_;
  std::optional<Micros> shutdown_deadline_;
};

}  // namespace lemonroute
