/// \file
/// What a process of this router leaves to its successor at an upgrade: streams under way, and what it has
/// learned of nodes. Used on the serving thread only.
#pragma once

#include <functional>
#include <vector>

#include "core/router/attempt_runner.h"
#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/request_table.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Transfers and adopts streams, and exchanges what was learned of nodes. Adopted streams are ordinary
/// requests afterwards, except that the Scheduler never hears of them as requests.
class StreamHandoff {
 public:
  /// The classes that a hand-over reads and changes. All of them outlive the StreamHandoff.
  struct Collaborators {
    RequestTable& requests;   ///< the open requests, with their streams
    NodeRegistry& nodes;      ///< load reports of nodes
    AttemptRunner& attempts;  ///< goes on with adopted streams
    EventDispatcher& events;  ///< takes the ends of transferred streams and adopted load reports
    Scheduler& scheduler;     ///< what it has learned is exchanged
    RequestMetrics& metrics;  ///< counts adopted streams with their classes
  };
  /// `context` outlives this object.
  StreamHandoff(const RouterContext& context, Collaborators collaborators);

  /// Offers each stream that stands between two events to `transfer`, which returns whether it has sent the
  /// stream's connections to the other process. The first refusal ends the transfer; the other streams stay.
  void transfer_streams(const std::function<bool(const TransferredStream&)>& transfer);
  /// Goes on with a stream that another process has transferred. Returns false if a request with the same
  /// client id is open, or if the node transport cannot go on with the connection; then `client` is not kept.
  /// \param stream the stream and its two connections.
  /// \param client hears the rest of the answer.
  /// \param id is set before `client` hears anything.
  [[nodiscard]] bool adopt_stream(const TransferredStream& stream, Client& client, RequestId& id);

  /// Returns what this process has learned of ready nodes.
  [[nodiscard]] HandoverState handover_state() const;
  /// Applies what the process before this one has learned. Parts that are too old by now, or that concern
  /// nodes which are listed differently, are left out.
  void apply_handover_state(const HandoverState& handover_state);

 private:
  [[nodiscard]] std::vector<RequestId> streaming_requests() const;
  void close_transferred(RequestState& request);
  [[nodiscard]] NodeReport report_of(const Node& node) const;
  [[nodiscard]] static bool is_current(const NodeReport& report, const Node& node, Micros reported_at);

  const RouterContext& context_;
  RequestTable& requests_;
  NodeRegistry& nodes_;
  AttemptRunner& attempts_;
  EventDispatcher& events_;
  Scheduler& scheduler_;
  RequestMetrics& metrics_;
};

}  // namespace lemonroute
