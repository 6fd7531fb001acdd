/// \file
/// The handover from a process of this router to its successor at an upgrade: active streams, and what the
/// process has learned about nodes. Used on the serving thread only.
#pragma once

#include <functional>
#include <vector>

#include "core/router/attempt_runner.h"
#include "core/router/client_ids.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/request_table.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Transfers and adopts streams, and exports and imports what was learned about nodes. Adopted streams become
/// ordinary requests, except that the Scheduler does not know them as requests.
class ProcessHandover {
 public:
  /// The objects that a handover reads and changes. All of them must outlive the ProcessHandover.
  struct Dependencies {
    RequestTable& requests;   ///< the open requests, with their streams
    ClientIds& client_ids;    ///< the ids that clients gave them
    NodeRegistry& nodes;      ///< the nodes and their load reports
    AttemptRunner& attempts;  ///< continues adopted streams
    EventDispatcher& events;  ///< receives the ends of transferred streams, and imported load reports
    Scheduler& scheduler;     ///< exports and imports learned rates
    RequestMetrics& metrics;  ///< counts adopted streams for their classes
  };
  /// `context` must outlive this object.
  ProcessHandover(const RouterContext& context, Dependencies dependencies);

  /// Passes each stream that is between two events to `transfer`, which returns whether it has sent the
  /// stream's connections to the other process. The transfer stops at the first false; the remaining streams
  /// stay in this process.
  void transfer_streams(const std::function<bool(const TransferredStream&)>& transfer);
  /// Continues a stream that another process has transferred. Returns false if a request with the same client
  /// id is open, or if the node transport cannot continue the connection; then `client` is not kept.
  /// \param stream the stream and its two connections.
  /// \param client receives the rest of the answer. It must live as long as in Router::submit.
  /// \param id receives the id of the request before `client` is first called.
  [[nodiscard]] bool adopt_stream(const TransferredStream& stream, Client& client, RequestId& id);

  /// Returns what this process has learned about ready nodes.
  [[nodiscard]] HandoverState handover_state() const;
  /// Applies what the previous process has learned. Ignores load reports that are too old by now, and nodes
  /// that are not listed as ready.
  void apply_handover_state(const HandoverState& handover_state);

 private:
  [[nodiscard]] std::vector<RequestId> streaming_requests() const;
  void close_transferred(RequestState& request);
  [[nodiscard]] NodeHandoverState node_handover_state(const Node& node) const;
  [[nodiscard]] static bool is_current(const NodeHandoverState& report, const Node& node, Micros reported_at);

  const RouterContext& context_;
  RequestTable& requests_;
  ClientIds& client_ids_;
  NodeRegistry& nodes_;
  AttemptRunner& attempts_;
  EventDispatcher& events_;
  Scheduler& scheduler_;
  RequestMetrics& metrics_;
};

}  // namespace lemonroute
