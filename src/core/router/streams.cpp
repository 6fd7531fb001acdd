#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

// Both connections are given at once, between two events, so that each byte is read and written by one
// process only.
void Router::pass_streams(const std::function<bool(const PassedStream&)>& give) {
  std::vector<RequestId> streaming;
  for (const auto& [id, entry] : requests_)
    if (entry->client && entry->out && entry->out->started)
      streaming.push_back(id);
  for (const RequestId id : streaming) {
    RequestState& entry = *find(id);
    const auto client = entry.client->passable(), call = entry.out->call->passable();
    if (!client || !call)
      continue;
    if (!give({entry.prompt.id, entry.kind, entry.out->node, entry.out->number, *client, *call}))
      return;
    logging::info() << entry.prompt.id << " goes on at the other process";
    Client& given = *entry.client;
    end(entry);
    const std::unique_ptr<AttemptState> out = std::move(entry.out);
    timers_.drop(out->timer);
    given.passed();
    out->call->passed();
    put(Completed{id, Outcome::cancelled, true, clock_.now() - out->sent, out->host, 0, out->number, {}});
  }
}

// The module never hears of such a stream: nothing about it is left to decide.
bool Router::adopt(const PassedStream& stream, Client& client, RequestId& id) {
  if (by_name_.count(stream.id))
    return false;
  Node node;
  node.name = stream.node;
  node.id = id_of(stream.node);
  if (const auto known = known_.find(node.id); known != known_.end())
    node = known->second;
  RequestState& entry = enter({stream.id, {}, {}}, client, stream.kind);
  id = entry.id;
  entry.attempts = static_cast<std::uint16_t>(stream.attempt + 1);
  entry.adopted = true;
  entry.out = std::make_unique<AttemptState>(*this, id, stream.attempt, node, Role::write, clock_.now());
  entry.out->started = true;
  entry.out->call = nodes_.adopt(node, stream.call, *entry.out);
  if (!entry.out->call) {
    end(entry);
    entry.out.reset();
    touched_.push_back(id);
    settle();
    return false;
  }
  logging::info() << stream.id << " goes on here, from the other process";
  watch_silence(*entry.out);
  if (on_change)
    on_change();
  return true;
}

}  // namespace lemonroute
