/// \file
/// When release calls are made and when they are given up. Used on the serving thread only.
#pragma once

#include <optional>

#include "core/router/node_registry.h"
#include "core/router/pending_release.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Derives the times of release calls from Settings::reservation_release_timeout. Owns the shutdown deadline,
/// after which calls follow each other sooner.
class ReleaseSchedule {
 public:
  /// `context` and `nodes` outlive this object.
  ReleaseSchedule(const RouterContext& context, const NodeRegistry& nodes);

  /// The process ends soon after `at`.
  void set_shutdown_deadline(Micros at) { shutdown_deadline_ = at; }
  /// Returns how long a reservation may be held with no attempt under way.
  [[nodiscard]] Micros release_timeout() const;
  /// Returns when the calls for a reservation have to begin that has been idle since `idle_since`: after half
  /// of the timeout, so that the other half is left to them.
  [[nodiscard]] Micros release_due_at(Micros idle_since) const;
  /// Returns how long a call may go unanswered. A node that can be reached answers much sooner.
  [[nodiscard]] Micros call_timeout() const;
  /// Returns the time from one call of this release to the next.
  [[nodiscard]] Micros retry_interval(const PendingRelease& pending) const;
  /// Returns whether nodes other than the holders are still called after one of them has acknowledged.
  [[nodiscard]] bool notifies_other_nodes(const PendingRelease& pending) const;
  /// Brings the end of the release forward to the end of the process.
  void limit_to_shutdown(PendingRelease& pending) const;

 private:
  const RouterContext& context_;
  const NodeRegistry& nodes_;
  std::optional<Micros> shutdown_deadline_;
};

}  // namespace lemonroute
