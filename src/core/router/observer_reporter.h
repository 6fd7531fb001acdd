/// \file
/// What this router tells the NodeObserver. Used on the serving thread only.
#pragma once

#include "core/demand_tracker.h"
#include "core/fleet_view.h"
#include "core/router/node_registry.h"
#include "core/router/request_table.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Reports what this router sees of nodes and of its clients' demand to an observer, once one is set. Owns
/// the counts of demand.
class ObserverReporter {
 public:
  /// All arguments outlive this object.
  ObserverReporter(const RouterContext& context, const NodeRegistry& nodes, const RequestTable& requests);

  /// Reports to `observer` from now on, beginning with the endpoints and the demand; null ends it. `observer`
  /// outlives this object, or is replaced before it is destroyed.
  void set_observer(NodeObserver* observer);
  /// Reports all known nodes.
  void report_endpoints();
  /// Reports what an attempt that has ended says of its node. `node` is the node's entry in the registry.
  void report_attempt(const RequestState& request, const AttemptState& ended, const Node& node,
                      const AttemptCompleted& completed);
  /// Counts a request that was accepted.
  void record_accepted() { demand_.record_accepted(); }
  /// Counts a request that was rejected.
  void record_rejected() { demand_.record_rejected(); }

 private:
  void report_demand();

  const RouterContext& context_;
  const NodeRegistry& nodes_;
  const RequestTable& requests_;
  NodeObserver* observer_ = nullptr;
  DemandTracker demand_;
};

}  // namespace lemonroute
