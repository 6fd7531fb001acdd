#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/router/router_impl.h"

namespace lemonroute {

Router::Impl::Impl(Router& router, Settings initial_settings, std::vector<std::string> zones,
                   std::vector<std::string> kinds, std::uint64_t seed, const Clock& clock,
                   NodeTransport& transport)
    : settings(std::move(initial_settings)),
      context{settings, clock, timers, transport,
              [&router] {
                if (router.on_change)
                  router.on_change();
              }},
      scheduler(settings, seed),
      client_ids(context),
      nodes(settings, std::move(zones), std::move(kinds), clock),
      releaser(context, requests, nodes),
      events(*this, context.notify_change),
      reporter(context, nodes, requests),
      attempts(context, {requests, nodes, releaser, events, reporter}),
      actions(context, {scheduler, requests, client_ids, nodes, releaser, attempts, events, reporter}),
      handover(context, {requests, client_ids, nodes, attempts, events, scheduler, metrics}) {
  metrics.set_classes(settings.classes);
}

void Router::Impl::reapply_overlays() {
  EndpointListUpdate update = actions.refresh_overlays();
  if (!update.endpoints.empty())
    events.enqueue(std::move(update));
}

Router::Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
               std::uint64_t seed, const Clock& clock, NodeTransport& transport)
    : impl_(std::make_unique<Impl>(*this, std::move(settings), std::move(zones), std::move(kinds), seed,
                                   clock, transport)) {}
Router::~Router() = default;

void Router::update_endpoints(EndpointListKind kind, std::uint32_t version,
                              const std::vector<ListedNode>& listed) {
  EndpointListUpdate update = impl_->nodes.update(kind, version, listed);
  impl_->attempts.limit_starts_at_draining_nodes();
  impl_->events.enqueue(std::move(update));
  impl_->reporter.report_endpoints();
}

void Router::update_settings(Settings settings, std::vector<std::string> zones,
                             std::vector<std::string> kinds) {
  impl_->settings = std::move(settings);
  impl_->metrics.set_classes(impl_->settings.classes);
  impl_->scheduler.update_settings(impl_->nodes.effective_settings());
  impl_->events.enqueue(impl_->nodes.set_zones_and_kinds(std::move(zones), std::move(kinds)));
  impl_->reporter.report_endpoints();
}

OverrideResult Router::drain_node(const std::string& node) {
  const OverrideResult result = impl_->nodes.drain(node);
  if (result == OverrideResult::applied)
    impl_->reapply_overlays();
  return result;
}

OverrideResult Router::undrain_node(const std::string& node) {
  const OverrideResult result = impl_->nodes.undrain(node);
  if (result == OverrideResult::applied)
    impl_->reapply_overlays();
  return result;
}

void Router::load_overrides(std::string path, LockFile& lock) {
  impl_->nodes.load_overrides(std::move(path), lock);
  impl_->reapply_overlays();
}

void Router::reload_overrides() {
  if (impl_->nodes.reload_overrides())
    impl_->reapply_overlays();
}

RouterMetrics Router::metrics() const {
  const NodeRegistry& nodes = impl_->nodes;
  RouterMetrics metrics;
  metrics.classes = impl_->metrics.all();
  metrics.sent_attempts = impl_->attempts.sent_attempts();
  metrics.open_requests = open_request_count();
  metrics.listed_nodes = nodes.all().size();
  const std::vector<EndpointId> ejected = impl_->scheduler.ejected_endpoints(impl_->context.now());
  for (const auto& [id, node] : nodes.all()) {
    const bool is_ejected = std::find(ejected.begin(), ejected.end(), id) != ejected.end();
    if (is_ejected || nodes.is_drained_by_operator(node.name))
      ++metrics.unhealthy_nodes;
  }
  return metrics;
}

std::string Router::endpoint_name(EndpointId id) const {
  return impl_->nodes.name_of(id);
}

void Router::set_choice_observer(std::function<void(const Choice&)> observer) {
  impl_->scheduler.set_choice_observer(std::move(observer));
}

void Router::set_fleet_view(std::shared_ptr<const FleetView> fleet_view) {
  NodeRegistry& nodes = impl_->nodes;
  const std::uint32_t routers_before = nodes.effective_settings().router_count;
  nodes.set_fleet_view(std::move(fleet_view));
  const Settings effective = nodes.effective_settings();
  if (effective.router_count != routers_before) {
    logging::info() << "router count changed: routers=" << effective.router_count;
    impl_->scheduler.update_settings(effective);
  }
  const std::vector<EndpointId> cache_losses = nodes.record_cache_losses();
  impl_->reapply_overlays();
  for (const EndpointId endpoint : cache_losses)
    impl_->events.enqueue(CacheInvalidated{endpoint});
}

void Router::set_node_observer(NodeObserver* observer) {
  impl_->reporter.set_observer(observer);
}

void Router::set_request_id_locks(RequestIdLocks* locks) {
  impl_->client_ids.set_locks(locks);
}

void Router::transfer_streams(const std::function<bool(const TransferredStream&)>& transfer) {
  impl_->handover.transfer_streams(transfer);
}

bool Router::adopt_stream(const TransferredStream& stream, Client& client, RequestId& id) {
  return impl_->handover.adopt_stream(stream, client, id);
}

HandoverState Router::handover_state() const {
  return impl_->handover.handover_state();
}

void Router::apply_handover_state(const HandoverState& handover_state) {
  impl_->handover.apply_handover_state(handover_state);
}

std::optional<Micros> Router::next_timer() const {
  return impl_->timers.next_due();
}

void Router::run_timers() {
  impl_->timers.run_due(impl_->context.now());
  impl_->context.notify_change();
}

std::size_t Router::open_request_count() const {
  return impl_->requests.waiting_clients();
}

std::size_t Router::listed_node_count() const {
  return impl_->nodes.all().size();
}

bool Router::idle() const {
  return impl_->requests.empty() && impl_->releaser.idle();
}

std::size_t Router::ready_node_count() const {
  return impl_->nodes.ready_node_count();
}

}  // namespace lemonroute
