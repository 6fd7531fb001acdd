#include "core/router/process_handover.h"

#include <memory>
#include <utility>

#include "base/log.h"

namespace lemonroute {

ProcessHandover::ProcessHandover(const RouterContext& context, Dependencies dependencies)
    : context_(context),
      requests_(dependencies.requests),
      client_ids_(dependencies.client_ids),
      nodes_(dependencies.nodes),
      attempts_(dependencies.attempts),
      events_(dependencies.events),
      scheduler_(dependencies.scheduler),
      metrics_(dependencies.metrics) {}

std::vector<RequestId> ProcessHandover::streaming_requests() const {
  std::vector<RequestId> streaming;
  for (const auto& [id, request] : requests_.all())
    if (request->client && request->is_streaming())
      streaming.push_back(id);
  return streaming;
}

// Both connections of a stream are transferred together and between two events, so that each byte is read and
// written by exactly one process.
void ProcessHandover::transfer_streams(const std::function<bool(const TransferredStream&)>& transfer) {
  for (const RequestId id : streaming_requests()) {
    RequestState& request = *requests_.find(id);
    const AttemptState& attempt = *request.attempt;
    const auto client = request.client->transferable_connection();
    const auto call = attempt.call->transferable_connection();
    if (!client || !call)
      continue;
    const TransferredStream stream{request.prompt.id,
                                   request.request_class,
                                   attempt.node,
                                   attempt.number,
                                   context_.now() - attempt.last_data_at,
                                   *client,
                                   *call};
    if (!transfer(stream))
      return;
    logging::info() << "stream transferred: request=" << request.prompt.id << " node=" << attempt.node;
    close_transferred(request);
  }
}

void ProcessHandover::close_transferred(RequestState& request) {
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

// The Scheduler is not informed of an adopted stream, since no decision about it remains.
bool ProcessHandover::adopt_stream(const TransferredStream& stream, Client& client, RequestId& id) {
  if (!client_ids_.claim_transferred(stream.id))
    return false;
  Node node;
  node.name = stream.node;
  node.id = nodes_.id_of(stream.node);
  if (const Node* known = nodes_.find(node.id))
    node = *known;
  const FixedRequestSettings fixed_settings{stream.request_class, context_.settings.max_attempts,
                                            metrics_.counts_of(stream.request_class)};
  RequestState& request = requests_.add({stream.id, {}, {}}, client, fixed_settings);
  request.attempt_count = static_cast<std::uint16_t>(stream.attempt + 1);
  request.adopted = true;
  id = request.id;
  if (!attempts_.adopt(request, stream, node)) {
    requests_.close_client(request);
    client_ids_.release(stream.id);
    requests_.erase(id);
    return false;
  }
  logging::info() << "stream adopted: request=" << stream.id << " node=" << stream.node;
  context_.notify_change();
  return true;
}

}  // namespace lemonroute
