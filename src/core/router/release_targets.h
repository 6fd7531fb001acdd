/// \file
/// The choice of the node for the next release call. Used on the serving thread only.
#pragma once

#include "core/router/node_registry.h"
#include "core/router/pending_release.h"
#include "core/router/release_schedule.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Chooses the targets of release calls: the holders and, in turn with them, other nodes, which also accept
/// the call. Stateless.
class ReleaseTargets {
 public:
  /// All arguments must outlive this object.
  ReleaseTargets(const RouterContext& context, const NodeRegistry& nodes, const ReleaseSchedule& schedule);

  /// Returns the node to call next, or null if there is none. The pointer is valid until the endpoint list
  /// changes.
  [[nodiscard]] const Node* next_target(const PendingRelease& pending) const;
  /// Returns the best ready node that is not a holder, or null if there is none.
  [[nodiscard]] const Node* other_target(const PendingRelease& pending) const;

 private:
  /// Returns the listed holder that got the fewest calls, or null if no holder is listed.
  [[nodiscard]] const Node* holder_target(const PendingRelease& pending) const;
  [[nodiscard]] int contact_rank(EndpointId endpoint) const;

  const RouterContext& context_;
  const NodeRegistry& nodes_;
  const ReleaseSchedule& schedule_;
};

}  // namespace lemonroute
