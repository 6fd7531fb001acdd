#include "guide/fleet_bridge.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t update_ring_capacity = 8;
// Node events that don't wake the peers' thread are read once in poll_interval. The status is made anew as
// often, but in a large fleet, where making it takes longer, only once in status_interval_per_member times
// the number of members.
constexpr milliseconds poll_interval{100}, status_interval_per_member{1};

std::vector<peers::Extension*> extensions_of(const std::vector<ExtensionBinding>& bindings) {
  std::vector<peers::Extension*> extensions;
  extensions.reserve(bindings.size());
  for (const auto& binding : bindings)
    extensions.push_back(binding.extension.get());
  return extensions;
}

}  // namespace

FleetBridge::FleetBridge(net::Loop& loop, const Clock& clock, Options options,
                         std::vector<ExtensionBinding> bindings, ViewCallback on_view)
    : on_view_(std::move(on_view)),
      bindings_(std::move(bindings)),
      node_events_([this] { service_->wake(); }),
      updates_(update_ring_capacity),
      updates_wake_(loop, [this] { take_updates(); }),
      router_count_estimator_(options.router_count),
      service_(std::make_unique<peers::Service>(std::move(options.service), clock, extensions_of(bindings_),
                                                static_cast<peers::Service::Delegate&>(*this))) {
  for (const auto& binding : bindings_)
    if (binding.observer)
      observers_.push_back(binding.observer.get());
  service_->start();
}

FleetBridge::~FleetBridge() {
  service_.reset();
}

std::shared_ptr<const std::string> FleetBridge::status_json() const {
  if (!service_->failed())
    return status_;
  return std::make_shared<const std::string>("{\"failed\":true}\n");
}

void FleetBridge::on_wake(Micros) {
  node_events_.deliver(observers_);
}

void FleetBridge::on_update(Micros now, const peers::Service& service) {
  node_events_.deliver(observers_);
  const bool view_changed = refresh_view(now, service), status_changed = refresh_status(now, service);
  if (view_changed || status_changed || unsent_) {
    unsent_ = !updates_.push(latest_);
    updates_wake_.wake();
  }
  std::erase_if(published_, [](const auto& object) { return object.use_count() == 1; });
  next_round_at_ = std::min(next_status_at_, now + poll_interval);
  if (next_view_at_ > now)
    next_round_at_ = std::min(next_round_at_, next_view_at_);
}

bool FleetBridge::refresh_view(Micros now, const peers::Service& service) {
  const auto router_count = router_count_estimator_.update(now, service.view());
  CombinedFleetView::Views views;
  for (const auto& binding : bindings_)
    if (auto view = binding.fleet_view ? binding.fleet_view() : nullptr)
      views.push_back(std::move(view));
  if (latest_.view && router_count == router_count_ && views == extension_views_)
    return false;
  // A change within min_view_interval of the previous view waits for the round at next_view_at_.
  if (now < next_view_at_)
    return false;
  next_view_at_ = now + min_view_interval;
  router_count_ = router_count;
  extension_views_ = views;
  latest_.view = std::make_shared<const CombinedFleetView>(router_count, std::move(views));
  published_.push_back(latest_.view);
  return true;
}

bool FleetBridge::refresh_status(Micros now, const peers::Service& service) {
  if (latest_.status && now < next_status_at_)
    return false;
  next_status_at_ =
      now + std::max<Micros>(poll_interval, status_interval_per_member * service.view().members.size());
  auto status = service.describe(now);
  status["siblings"] = router_count_;
  status["notes_dropped"] = node_events_.dropped();
  latest_.status = std::make_shared<const std::string>(
      status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
  published_.push_back(latest_.status);
  return true;
}

void FleetBridge::take_updates() {
  Update update;
  bool received = false;
  while (updates_.pop(update))
    received = true;
  if (!received)
    return;
  status_ = update.status;
  if (!update.view || update.view == view_)
    return;
  view_ = update.view;
  on_view_(view_);
}

}  // namespace lemonroute::guide
