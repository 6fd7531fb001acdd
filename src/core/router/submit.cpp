// Router: how a request is accepted, and how its client or the process ends it.
#include <algorithm>
#include <string>

#include "base/log.h"
#include "core/router/router_parts.h"

namespace lemonroute {

namespace {

// Returns the index of the entry of this name, or the size of the list.
template <class Named>
std::size_t index_by_name(const std::vector<Named>& list, const std::string& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const auto& one) { return one.name == name; });
  return static_cast<std::size_t>(found - list.begin());
}

std::uint8_t flags_of(const ClientRequest& client_request) {
  int flags = 0;
  if (client_request.is_retry)
    flags |= 2;
  if (client_request.is_resumed)
    flags |= 16;
  return static_cast<std::uint8_t>(flags);
}

}  // namespace

// Nodes know a request by the client's id. If a client used one id for two requests at a time, two attempts
// would be under way under one name.
Router::SubmitResult Router::submit(const ClientRequest& client_request, Client& client, RequestId& id) {
  const Settings& settings = parts_->settings;
  const std::size_t class_index = index_by_name(settings.classes, client_request.request_class);
  if (class_index >= settings.classes.size())
    return SubmitResult::unknown_class;
  if (parts_->requests.has_client_id(client_request.prompt.id))
    return SubmitResult::duplicate_id;
  const AcceptedTerms terms{client_request.request_class, settings.max_attempts,
                            parts_->metrics.counts_of(client_request.request_class)};
  RequestState& request = parts_->requests.add(client_request.prompt, client, terms);
  id = request.id;
  parts_->schedule(request, client_request, class_index);
  return SubmitResult::accepted;
}

void Router::Parts::schedule(RequestState& request, const ClientRequest& client_request,
                             std::size_t class_index) {
  const ClassSettings& request_class = settings.classes[class_index];
  request.not_idempotent = request_class.idempotency == Idempotency::not_idempotent;
  if (request_class.idempotency == Idempotency::idempotent_with_key)
    request.retry_window = request_class.retry_window;
  request.session_key = client_request.session_key;
  request.shared_prefix_key = client_request.shared_prefix_key;
  request.prompt_tokens = client_request.prompt_tokens;
  request.shared_prefix_tokens = client_request.shared_prefix_tokens;

  Request event;
  event.id = request.id;
  event.class_index = static_cast<std::uint16_t>(class_index);
  event.tenant_index = static_cast<std::uint16_t>(index_by_name(settings.tenants, client_request.tenant));
  event.session_key = client_request.session_key;
  event.shared_prefix_key = client_request.shared_prefix_key;
  event.time_budget =
      client_request.time_budget > Micros(0) ? client_request.time_budget : request_class.deadline;
  event.prompt_tokens = static_cast<float>(client_request.prompt_tokens);
  event.shared_prefix_tokens = static_cast<float>(client_request.shared_prefix_tokens);
  event.max_output_tokens = static_cast<float>(client_request.max_output_tokens);
  event.flags = flags_of(client_request);
  event.cache_hints = nodes.cache_hints(event.session_key, event.shared_prefix_key);

  reporter.record_accepted();
  requests.set_deadline(request, context.now() + event.time_budget);
  logging::debug() << "request accepted: request=" << client_request.prompt.id
                   << " class=" << client_request.request_class
                   << " prompt_tokens=" << client_request.prompt_tokens
                   << " time_budget_ms=" << event.time_budget.count() / 1000
                   << " retry=" << (client_request.is_retry ? "yes" : "no");
  events.enqueue(std::move(event));
}

void Router::client_disconnected(RequestId id) {
  RequestState* request = parts_->requests.find(id);
  if (!request || !request->client)
    return;
  logging::debug() << "client disconnected: request=" << request->prompt.id
                   << " attempts=" << request->attempt_count;
  parts_->requests.close_client(*request);
  parts_->attempts.on_client_disconnected(*request);
  parts_->events.enqueue(ClientDisconnected{id});
}

void Router::resume_stream(RequestId id) {
  parts_->attempts.resume_stream(id);
}

// A process that is killed with an attempt under way leaves a reservation behind that nobody will release.
// With the deadline its clients are answered, and its reservations released, while there is time.
void Router::set_shutdown_deadline(Micros at) {
  parts_->requests.set_shutdown_deadline(at);
  parts_->attempts.set_shutdown_deadline(at);
  parts_->releaser.set_shutdown_deadline(at);
  parts_->context.notify_change();
}

}  // namespace lemonroute
