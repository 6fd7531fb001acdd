#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr RequestId request_bits = (RequestId(1) << 52) - 1;

}  // namespace

Router::Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
               std::uint64_t seed, const Clock& clock, NodeTransport& nodes)
    : settings_(std::move(settings)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      clock_(clock),
      transport_(nodes),
      scheduler_(settings_, seed) {
  request_metrics_.set_classes(settings_.classes);
}
Router::~Router() = default;

Router::RequestState* Router::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

const Router::RequestState* Router::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

Router::SubmitResult Router::submit(const ClientRequest& client_request, Client& client, RequestId& id) {
  const auto named = [](const auto& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(), [&](auto& one) { return one.name == name; }) - list.begin();
  };
  const auto cls = static_cast<std::size_t>(named(settings_.classes, client_request.request_class));
  if (cls >= settings_.classes.size())
    return SubmitResult::unknown_class;
  // Guards against a client that repeats an id while the first is open: nodes know a request by its id, and
  // two under one name would be two attempts out at once.
  if (requests_by_client_id_.count(client_request.prompt.id))
    return SubmitResult::duplicate_id;
  RequestState& entry = add_request(client_request.prompt, client, client_request.request_class);
  id = entry.id;
  entry.not_idempotent = settings_.classes[cls].idempotency == Idempotency::not_idempotent;
  if (settings_.classes[cls].idempotency == Idempotency::idempotent_with_key)
    entry.retry_window = settings_.classes[cls].retry_window;

  Request request;
  request.id = id;
  request.class_index = static_cast<std::uint16_t>(cls);
  request.tenant_index = static_cast<std::uint16_t>(named(settings_.tenants, client_request.tenant));
  request.session_key = client_request.session_key;
  request.shared_prefix_key = client_request.shared_prefix_key;
  request.time_budget =
      client_request.time_budget > Micros(0) ? client_request.time_budget : settings_.classes[cls].deadline;
  request.prompt_tokens = static_cast<float>(client_request.prompt_tokens);
  request.shared_prefix_tokens = static_cast<float>(client_request.shared_prefix_tokens);
  request.max_output_tokens = static_cast<float>(client_request.max_output_tokens);
  request.flags =
      static_cast<std::uint8_t>((client_request.is_retry ? 2 : 0) | (client_request.is_resumed ? 16 : 0));

  request.cache_hints = cache_hints(request.session_key, request.shared_prefix_key);
  entry.session_key = request.session_key;
  entry.shared_prefix_key = request.shared_prefix_key;
  entry.prompt_tokens = client_request.prompt_tokens;
  entry.shared_prefix_tokens = client_request.shared_prefix_tokens;
  demand_.record_accepted();

  entry.deadline = clock_.now() + request.time_budget;
  if (shutdown_deadline_)
    entry.deadline = std::min(entry.deadline, *shutdown_deadline_);
  logging::debug() << client_request.prompt.id << " taken, " << client_request.request_class << ", "
                   << client_request.prompt_tokens << " tokens, " << request.time_budget.count() / 1000
                   << " ms" << (client_request.is_retry ? ", a repeat" : "");
  enqueue(request);
  return SubmitResult::accepted;
}

Router::RequestState& Router::add_request(const Prompt& prompt, Client& client, const std::string& kind) {
  RequestId id = hash_text(prompt.id) & request_bits;
  while (requests_.count(id))
    id = (id + 1) & request_bits;
  requests_by_client_id_[prompt.id] = id;
  auto entry = std::make_unique<RequestState>();
  entry->id = id;
  entry->prompt = prompt;
  entry->client = &client;
  entry->max_attempts = settings_.max_attempts;
  entry->request_class = kind;
  entry->counts = request_metrics_.counts_of(kind);
  ++open_requests_;
  return *(requests_[id] = std::move(entry));
}

// Guards what is held at nodes: killed with an attempt out, a process leaves a state behind that nobody will
// let go. Its client hears while there is time to answer it, and to have the state let go.
void Router::set_shutdown_deadline(Micros at) {
  shutdown_deadline_ = at;
  for (const auto& [id, entry] : requests_) {
    entry->deadline = std::min(entry->deadline, at);
    if (!entry->attempt || entry->attempt->streaming || entry->attempt->timer.first <= at)
      continue;
    timers_.cancel(entry->attempt->timer);
    entry->attempt->timer = timers_.add(at, [this, out = entry->attempt.get()] { on_attempt_timeout(*out); });
  }
  for (PendingRelease& released : releases_)
    limit_release_to_shutdown(released);
  if (on_change)
    on_change();
}

void Router::client_disconnected(RequestId id) {
  RequestState* entry = find(id);
  if (!entry || !entry->client)
    return;
  logging::debug() << entry->prompt.id << " is given up by its client after " << entry->attempt_count
                   << " attempts";
  close_client(*entry);
  // A stream that nobody reads ends; the module does not cancel what has started.
  // Danger: an attempt that begins for nobody, once its connection comes up or a place on one is free. Where
  // the settings forbid to call attempts off the module leaves it alone; but there is nothing to call off, no
  // node has heard of it.
  if (entry->attempt && (entry->attempt->streaming || entry->attempt->not_sent()))
    on_attempt_done(*entry->attempt, {Outcome::cancelled, 0, {}, "the client has gone"});
  enqueue(ClientDisconnected{id});
}

void Router::resume_stream(RequestId id) {
  const RequestState* entry = find(id);
  if (!entry || !entry->attempt || !entry->attempt->streaming)
    return;
  entry->attempt->call->pause_reading(false);
  restart_stream_timer(*entry->attempt);
  if (on_change)
    on_change();
}

void Router::close_client(RequestState& entry) {
  entry.client = nullptr;
  --open_requests_;
}

}  // namespace lemonroute
