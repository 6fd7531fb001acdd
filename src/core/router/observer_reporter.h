/// \file
/// Reports of this router to its NodeObserver. Used on the serving thread only.
#pragma once

#include "core/demand_tracker.h"
#include "core/fleet_view.h"
#include "core/router/node_registry.h"
#include "core/router/request_table.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Reports observations of nodes and the demand of this router's clients to an observer, if one is set. Owns
/// the DemandTracker, which counts requests even without an observer.
class ObserverReporter {
 public:
  /// All arguments must outlive this object.
  ObserverReporter(const RouterContext& context, const NodeRegistry& nodes, const RequestTable& requests);

  /// Sets the observer and reports the endpoints and the demand to it at once; null removes the observer. It
  /// must outlive this object or be replaced before it is destroyed.
  void set_observer(NodeObserver* observer);
  /// Reports all listed nodes.
  void report_endpoints();
  /// Reports what the result of an ended attempt shows about its node. `node` is the node's entry in the
  /// registry.
  void report_attempt(const RequestState& request, const AttemptState& ended, const Node& node,
                      const AttemptCompleted& completed);
  /// Counts an accepted request.
  void record_accepted() { demand_.record_accepted(); }
  /// Counts a rejected request.
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
