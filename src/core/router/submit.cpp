// Router: acceptance of requests, and their end by the client or at shutdown.
#include <algorithm>
#include <string>

#include "base/log.h"
#include "core/router/router_impl.h"

namespace lemonroute {

namespace {

// Returns the index of the entry of this name, or the size of the list.
template <class Entry>
std::size_t index_by_name(const std::vector<Entry>& list, const std::string& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const auto& entry) { return entry.name == name; });
  return static_cast<std::size_t>(found - list.begin());
}

std::uint8_t flags_of(const ClientRequest& client_request) {
  int flags = 0;
  if (client_request.is_retry)
    flags |= RequestFlag::repeated_by_client;
  if (client_request.is_resumed)
    flags |= RequestFlag::resumed_stream;
  return static_cast<std::uint8_t>(flags);
}

}  // namespace

Router::SubmitResult Router::submit(const ClientRequest& client_request, Client& client, RequestId& id) {
  const Settings& settings = impl_->settings;
  const std::size_t class_index = index_by_name(settings.classes, client_request.request_class);
  if (class_index >= settings.classes.size())
    return SubmitResult::unknown_class;
  if (!impl_->client_ids.claim(client_request.prompt.id))
    return SubmitResult::duplicate_id;
  if (impl_->is_shutting_down()) {
    impl_->client_ids.release(client_request.prompt.id);
    ++impl_->metrics.counts_of(client_request.request_class)->rejected;
    logging::debug() << "request rejected: request=" << client_request.prompt.id << " reason=shutdown";
    return SubmitResult::shutting_down;
  }
  const FixedRequestSettings fixed_settings{client_request.request_class, settings.max_attempts,
                                            impl_->metrics.counts_of(client_request.request_class)};
  RequestState& request = impl_->requests.add(client_request.prompt, client, fixed_settings);
  id = request.id;
  impl_->schedule(request, client_request, class_index);
  return SubmitResult::accepted;
}

bool Router::Impl::is_shutting_down() const {
  return acceptance_deadline && context.now() > *acceptance_deadline;
}

void Router::Impl::schedule(RequestState& request, const ClientRequest& client_request,
                            std::size_t class_index) {
  const ClassSettings& request_class = settings.classes[class_index];
  request.not_idempotent = request_class.idempotency == Idempotency::not_idempotent;
  if (request_class.idempotency == Idempotency::idempotent_with_key) {
    request.retry_window = request_class.retry_window;
    request.retry_scope = request_class.retry_scope;
  }
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
  RequestState* request = impl_->requests.find(id);
  if (!request || !request->client)
    return;
  logging::debug() << "client disconnected: request=" << request->prompt.id
                   << " attempts=" << request->attempt_count;
  impl_->requests.close_client(*request);
  impl_->attempts.on_client_disconnected(*request);
  impl_->events.enqueue(ClientDisconnected{id});
}

void Router::resume_stream(RequestId id) {
  impl_->attempts.resume_stream(id);
}

// If the process is killed during an attempt, no process releases the attempt's reservation. The deadline
// ensures that clients are answered and reservations released before that.
void Router::set_shutdown_deadline(Micros at) {
  impl_->requests.set_shutdown_deadline(at);
  impl_->attempts.set_shutdown_deadline(at);
  impl_->releaser.set_shutdown_deadline(at);
  impl_->context.notify_change();
}

void Router::set_acceptance_deadline(Micros at) {
  impl_->acceptance_deadline = at;
}

}  // namespace lemonroute
