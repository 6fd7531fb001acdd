/// \file
/// A FleetView that combines the number of routers with the views of several extensions.
#pragma once

#include <memory>
#include <vector>

#include "core/fleet_view.h"

namespace lemonroute::guide {

/// Combines the views of all extensions. Never changes after construction.
class CombinedFleetView final : public FleetView {
 public:
  /// Views of the extensions.
  using Views = std::vector<std::shared_ptr<const FleetView>>;
  /// None of the pointers may be null.
  CombinedFleetView(std::uint32_t router_count, Views views)
      : router_count_(router_count), views_(std::move(views)) {}

  /// Returns the number of routers passed to the constructor.
  std::uint32_t router_count() const override { return router_count_; }
  /// The node is drained if any view says so. Of the start times the latest holds, of the expiry times the
  /// earliest.
  NodeOverlay overlay(const Node& node) const override;
  /// Returns the locations of all views, in the order of the views.
  std::vector<CacheLocation> cache_locations(Key session_key, Key shared_prefix_key) const override;
  /// Returns the latest time of all views.
  Micros cache_lost_at(const Node& node) const override;

 private:
  std::uint32_t router_count_;
  Views views_;
};

}  // namespace lemonroute::guide
