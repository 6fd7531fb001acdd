#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

// Both connections are given at once, between two events, so that each byte is read and written by one
// process only.
void Router::transfer_streams(const std::function<bool(const TransferredStream&)>& give) {
  std::vector<RequestId> streaming;
  for (const auto& [id, entry] : requests_)
    if (entry->client && entry->attempt && entry->attempt->streaming)
      streaming.push_back(id);
  for (const RequestId id : streaming) {
    RequestState& entry = *find(id);
    const auto client = entry.client->transferable_connection(),
               call = entry.attempt->call->transferable_connection();
    if (!client || !call)
      continue;
    if (!give({entry.prompt.id, entry.request_class, entry.attempt->node, entry.attempt->number, *client,
               *call}))
      return;
    logging::info() << entry.prompt.id << " goes on at the other process";
    Client& given = *entry.client;
    close_client(entry);
    const std::unique_ptr<AttemptState> out = std::move(entry.attempt);
    timers_.cancel(out->timer);
    given.on_transferred();
    out->call->on_transferred();
    enqueue(AttemptCompleted{
        id, Outcome::cancelled, true, clock_.now() - out->sent_at, out->endpoint, 0, out->number, {}});
  }
}

// The module never hears of such a stream: nothing about it is left to decide.
bool Router::adopt_stream(const TransferredStream& stream, Client& client, RequestId& id) {
  if (requests_by_client_id_.count(stream.id))
    return false;
  Node node;
  node.name = stream.node;
  node.id = endpoint_id(stream.node);
  if (const auto known = known_nodes_.find(node.id); known != known_nodes_.end())
    node = known->second;
  RequestState& entry = add_request({stream.id, {}, {}}, client, stream.request_class);
  id = entry.id;
  entry.attempt_count = static_cast<std::uint16_t>(stream.attempt + 1);
  entry.adopted = true;
  entry.attempt = std::make_unique<AttemptState>(*this, id, stream.attempt, node, Role::decode, clock_.now());
  entry.attempt->streaming = true;
  entry.attempt->call = transport_.adopt_stream(node, stream.call, *entry.attempt);
  if (!entry.attempt->call) {
    close_client(entry);
    entry.attempt.reset();
    touched_requests_.push_back(id);
    erase_finished_requests();
    return false;
  }
  logging::info() << stream.id << " goes on here, from the other process";
  restart_stream_timer(*entry.attempt);
  if (on_change)
    on_change();
  return true;
}

}  // namespace lemonroute
