#include "core/router/request_table.h"

#include <algorithm>
#include <utility>

namespace lemonroute {

namespace {

// Ids have 52 bits, so that a double represents every id exactly.
constexpr RequestId request_id_mask = (RequestId(1) << 52) - 1;

}  // namespace

RequestState* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

const RequestState* RequestTable::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

RequestState& RequestTable::add(const Prompt& prompt, Client& client, FixedRequestSettings fixed_settings) {
  RequestId id = hash_text(prompt.id) & request_id_mask;
  while (requests_.count(id))
    id = (id + 1) & request_id_mask;
  auto request = std::make_unique<RequestState>();
  request->id = id;
  request->prompt = prompt;
  request->client = &client;
  request->max_attempts = fixed_settings.max_attempts;
  request->request_class = std::move(fixed_settings.request_class);
  request->counts = std::move(fixed_settings.counts);
  ++waiting_clients_;
  return *(requests_[id] = std::move(request));
}

void RequestTable::set_deadline(RequestState& request, Micros deadline) {
  request.deadline = deadline;
  if (shutdown_deadline_)
    request.deadline = std::min(request.deadline, *shutdown_deadline_);
}

void RequestTable::set_shutdown_deadline(Micros at) {
  shutdown_deadline_ = at;
  for (const auto& [id, request] : requests_)
    request->deadline = std::min(request->deadline, at);
}

void RequestTable::close_client(RequestState& request) {
  request.client = nullptr;
  --waiting_clients_;
}

void RequestTable::erase(RequestId id) {
  requests_.erase(id);
}

std::vector<RequestId> RequestTable::take_cleanup_candidates() {
  return std::exchange(cleanup_candidates_, {});
}

}  // namespace lemonroute
