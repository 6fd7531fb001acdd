/// \file
/// Connects the peers' service and its extensions, which run on the peers' thread, with the serving loop.
/// Fleet views and the status go to the serving loop, node events to the peers' thread, each through a
/// bounded ring.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guide/combined_fleet_view.h"
#include "guide/extension_binding.h"
#include "guide/node_event_queue.h"
#include "guide/router_count_estimator.h"
#include "peers/loop_waker.h"
#include "peers/service.h"

namespace lemonroute::guide {

/// Runs the peers' service. Constructed, used and destroyed on the serving loop's thread.
class FleetBridge final : peers::Service::Delegate {
 public:
  /// Settings of the bridge.
  struct Options {
    peers::Service::Options service;            ///< settings of the peers' service
    RouterCountEstimator::Limits router_count;  ///< limits of the number of routers
  };
  /// Called on the serving loop with each newer view.
  using ViewCallback = std::function<void(std::shared_ptr<const FleetView>)>;
  /// Starts the service's thread. `loop` and `clock` must outlive this object. Throws if the service's
  /// address is taken.
  FleetBridge(net::Loop& loop, const Clock& clock, Options options, std::vector<ExtensionBinding> bindings,
              ViewCallback on_view);
  /// Tells the other routers that this one leaves, and ends the service's thread.
  ~FleetBridge() override;

  /// Shortest time between two new views.
  static constexpr std::chrono::milliseconds min_view_interval{10};

  /// Returns the observer that passes node events to the extensions. It belongs to this object.
  NodeObserver& observer() { return node_events_; }
  /// Returns the status of peers and extensions as JSON, which may be a moment old: null until the peers'
  /// thread has made the first, and {"failed":true} once that thread has failed.
  std::shared_ptr<const std::string> status_json() const;
  /// Returns the address at which the service receives datagrams, as IP:PORT.
  const std::string& address() const { return service_->address(); }

 private:
  struct Update {
    std::shared_ptr<const FleetView> view;
    std::shared_ptr<const std::string> status;
  };

  // On the peers' thread.
  void on_wake(Micros now) override;
  void on_update(Micros now, const peers::Service& service) override;
  Micros next_due() const override { return next_round_at_; }
  // Both return whether latest_ has changed.
  bool refresh_view(Micros now, const peers::Service& service);
  bool refresh_status(Micros now, const peers::Service& service);

  // On the serving loop.
  void take_updates();

  ViewCallback on_view_;
  std::vector<ExtensionBinding> bindings_;
  std::vector<NodeObserver*> observers_;
  NodeEventQueue node_events_;
  boost::lockfree::spsc_queue<Update> updates_;
  peers::LoopWaker updates_wake_;
  std::shared_ptr<const FleetView> view_;
  std::shared_ptr<const std::string> status_;

  // Used on the peers' thread only.
  RouterCountEstimator router_count_estimator_;
  std::uint32_t router_count_ = 0;
  CombinedFleetView::Views extension_views_;
  Update latest_;
  // Everything published. An object that the serving loop no longer holds is freed here, on the peers'
  // thread, so that the serving loop doesn't spend time on that.
  std::vector<std::shared_ptr<const void>> published_;
  bool unsent_ = false;  // the ring was full, so latest_ must still be pushed
  Micros next_round_at_{}, next_view_at_{}, next_status_at_{};

  std::unique_ptr<peers::Service> service_;  // declared last, so that its thread ends before the rest goes
};

}  // namespace lemonroute::guide
