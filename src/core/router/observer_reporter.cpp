#include "core/router/observer_reporter.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace lemonroute {

namespace {

constexpr Micros demand_report_interval = std::chrono::seconds(1);
// The column of load reports with the share of KV cache memory in use.
constexpr std::string_view memory_column = "x0";

}  // namespace

ObserverReporter::ObserverReporter(const RouterContext& context, const NodeRegistry& nodes,
                                   const RequestTable& requests)
    : context_(context), nodes_(nodes), requests_(requests) {}

void ObserverReporter::set_observer(NodeObserver* observer) {
  observer_ = observer;
  if (!observer_)
    return;
  report_endpoints();
  report_demand();
}

void ObserverReporter::report_endpoints() {
  if (!observer_)
    return;
  std::vector<Node> nodes;
  for (const auto& [id, node] : nodes_.all())
    nodes.push_back(node);
  observer_->on_endpoints(nodes, context_.now());
}

void ObserverReporter::report_attempt(const RequestState& request, const AttemptState& ended,
                                      const Node& node, const AttemptCompleted& completed) {
  if (!observer_)
    return;
  const Micros now = context_.now();
  const bool has_prefilled = completed.outcome == Outcome::prefill_done || completed.outcome == Outcome::ok;
  if (ended.role != Role::decode && has_prefilled) {
    // The observer compares the cache hit with its state before this prefill, so the hit is reported first.
    observer_->on_cache_hit(node, request.session_key, request.shared_prefix_key, completed.cached_tokens,
                            now);
    observer_->on_prefix_cached(node, request.session_key, request.shared_prefix_key, request.prompt_tokens,
                                request.shared_prefix_tokens, now);
  }
  const auto& columns = context_.settings.report_columns;
  const auto column = std::find(columns.begin(), columns.end(), memory_column);
  const auto index = static_cast<std::size_t>(column - columns.begin());
  const bool reports_memory = context_.settings.report_x0_is_memory && index < completed.load_report.size();
  if (ended.role != Role::prefill && reports_memory)
    demand_.record_load_report(ended.endpoint, completed.load_report[index], now);
}

void ObserverReporter::report_demand() {
  if (!observer_)
    return;
  const Micros now = context_.now();
  const auto& kv_cache_tokens_by_kind = context_.settings.kv_cache_tokens_by_kind;
  double memory = 0, own_tokens = 0;
  std::uint32_t decode_nodes = 0;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.ready() || nodes_.role_of(id) == Role::prefill)
      continue;
    ++decode_nodes;
    const auto kind = node.endpoint.kind;
    memory += kind < kv_cache_tokens_by_kind.size() ? kv_cache_tokens_by_kind[kind] : 0;
  }
  for (const auto& [id, request] : requests_.all())
    if (request->attempt && request->attempt->role != Role::prefill)
      own_tokens += request->prompt_tokens;
  observer_->on_demand(demand_.take_summary(own_tokens, memory, decode_nodes, now), now);
  context_.timers.add(now + demand_report_interval, [this] { report_demand(); });
}

}  // namespace lemonroute
