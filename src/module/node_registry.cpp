#include "module/node_registry.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "estimation/conversions.h"
#include "module/find_or_null.h"

namespace lemonroute::decisions {
namespace {

constexpr Micros initial_poll_backoff = std::chrono::seconds(1);
// Limits the backoff to 8 s, because a removed node must not stay in use for long.
constexpr int max_backoff_doublings = 3;

}  // namespace

void NodeRegistry::handle(const EndpointListUpdate& update) {
  const bool polls = context_.settings().endpoint_list_is_polled;
  if (update.kind == EndpointListKind::fetch_failed) {
    if (polls)
      poll_again_later();
    return;
  }
  if (update.kind != EndpointListKind::from_cache)
    failed_polls_in_a_row_ = 0;
  else if (polls)
    context_.emit(WatchEndpointList{true});
  if (update.kind != EndpointListKind::incremental)
    for (auto& [id, node] : nodes_)
      node.endpoint_.state = EndpointState::removed;
  for (const auto& endpoint : update.endpoints)
    apply_endpoint(endpoint);
  // Every choice visits all records, so records of removed nodes would slow down each choice as they
  // accumulate.
  std::erase_if(nodes_, [](const auto& entry) {
    const Node& node = entry.second;
    return node.endpoint_.state == EndpointState::removed && node.outstanding_.empty();
  });
  count_ready_nodes();
}

void NodeRegistry::poll_again_later() {
  // The discovery service may be overloaded, so the backoff doubles with each failure.
  const int doublings = std::min(failed_polls_in_a_row_++, max_backoff_doublings);
  const double resolution = estimation::to_microseconds(context_.settings().min_batch_interval);
  const double backoff = estimation::to_microseconds(initial_poll_backoff) * (1 << doublings);
  context_.emit(StartTimer{poll_timer_id, estimation::from_microseconds(resolution + backoff)});
}

void NodeRegistry::handle_poll_timer() {
  if (context_.settings().endpoint_list_is_polled)
    context_.emit(WatchEndpointList{true});
}

void NodeRegistry::apply_endpoint(const Endpoint& endpoint) {
  Node& node = nodes_[endpoint.id];
  const bool is_new_process =
      node.endpoint_.id != endpoint.id || node.endpoint_.started_at != endpoint.started_at;
  if (is_new_process) {
    // What was learned of the old process does not apply to the new one, whose prefix cache is empty.
    Node new_record;
    new_record.outstanding_ = std::move(node.outstanding_);
    new_record.cache_records = CacheRecordValidity(context_.now());
    node = std::move(new_record);
  }
  node.endpoint_ = endpoint;
  apply_machine_kind(node);
}

void NodeRegistry::apply_machine_kind(Node& node) const {
  const auto& settings = context_.settings();
  const std::size_t kind = node.endpoint_.kind;
  node.role_ = kind < settings.role_by_kind.size() ? settings.role_by_kind[kind] : Role::mixed;
  node.kv_cache_tokens_ =
      kind < settings.kv_cache_tokens_by_kind.size() ? settings.kv_cache_tokens_by_kind[kind] : 0;
}

void NodeRegistry::apply_machine_kinds() {
  for (auto& [id, node] : nodes_)
    apply_machine_kind(node);
  count_ready_nodes();
}

void NodeRegistry::count_ready_nodes() {
  ready_nodes_ = {};
  for (const auto& [id, node] : nodes_)
    if (node.is_ready())
      ready_nodes_[node.role()] += 1;
}

const Node* NodeRegistry::find(EndpointId endpoint) const {
  return find_or_null(nodes_, endpoint);
}

Node* NodeRegistry::find(EndpointId endpoint) {
  return find_or_null(nodes_, endpoint);
}

Role NodeRegistry::role_of(EndpointId endpoint) const {
  const Node* const node = find(endpoint);
  return node ? node->role() : Role::mixed;
}

}  // namespace lemonroute::decisions
