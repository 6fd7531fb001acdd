#include "core/router/stream_handoff.h"

#include <memory>
#include <utility>

#include "base/log.h"

namespace lemonroute {

StreamHandoff::StreamHandoff(const RouterContext& context, Collaborators collaborators)
    : context_(context),
      requests_(collaborators.requests),
      nodes_(collaborators.nodes),
      attempts_(collaborators.attempts),
      events_(collaborators.events),
      scheduler_(collaborators.scheduler),
      metrics_(collaborators.metrics) {}

std::vector<RequestId> StreamHandoff::streaming_requests() const {
  std::vector<RequestId> streaming;
  for (const auto& [id, request] : requests_.all())
    if (request->client && request->is_streaming())
      streaming.push_back(id);
  return streaming;
}

// Both connections of a stream are transferred at once and between two events, so that one process only reads
// and writes each byte.
void StreamHandoff::transfer_streams(const std::function<bool(const TransferredStream&)>& transfer) {
  for (const RequestId id : streaming_requests()) {
    RequestState& request = *requests_.find(id);
    const AttemptState& attempt = *request.attempt;
    const auto client = request.client->transferable_connection();
    const auto call = attempt.call->transferable_connection();
    if (!client || !call)
      continue;
    const TransferredStream stream{
        request.prompt.id, request.request_class, attempt.node, attempt.number, *client, *call};
    if (!transfer(stream))
      return;
    logging::info() << "stream transferred: request=" << request.prompt.id << " node=" << attempt.node;
    close_transferred(request);
  }
}

void StreamHandoff::close_transferred(RequestState& request) {
  Client& client = *request.client;
  requests_.close_client(request);
  const std::unique_ptr<AttemptState> attempt = std::move(request.attempt);
  attempt->timer.cancel();
  client.on_transferred();
  attempt->call->on_transferred();
  events_.enqueue(AttemptCompleted{attempt->request,
                                   Outcome::cancelled,
                                   true,
                                   context_.now() - attempt->sent_at,
                                   attempt->endpoint,
                                   0,
                                   attempt->number,
                                   {}});
}

// The Scheduler never hears of such a stream: nothing about it is left to decide.
bool StreamHandoff::adopt_stream(const TransferredStream& stream, Client& client, RequestId& id) {
  if (requests_.has_client_id(stream.id))
    return false;
  Node node;
  node.name = stream.node;
  node.id = nodes_.id_of(stream.node);
  if (const Node* known = nodes_.find(node.id))
    node = *known;
  const AcceptedTerms terms{stream.request_class, context_.settings.max_attempts,
                            metrics_.counts_of(stream.request_class)};
  RequestState& request = requests_.add({stream.id, {}, {}}, client, terms);
  request.attempt_count = static_cast<std::uint16_t>(stream.attempt + 1);
  request.adopted = true;
  id = request.id;
  if (!attempts_.adopt(request, stream, node)) {
    requests_.close_client(request);
    requests_.erase(id);
    return false;
  }
  logging::info() << "stream adopted: request=" << stream.id << " node=" << stream.node;
  context_.notify_change();
  return true;
}

}  // namespace lemonroute
