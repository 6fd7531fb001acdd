// The pools that this router may send to, as the serving loop reads them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/fleet_view.h"
#include "pools/settings.h"

namespace lemonroute::pools {

/// Immutable snapshot of the leases that this router's region holds.
class LeaseSnapshot {
 public:
  /// Access to one pool.
  struct Entry {
    bool drained = true;                ///< the region holds no lease of the pool
    Micros started_at{};                ///< when the region took the pool over; 0: as listed
    Micros expires_at = Micros::max();  ///< when the lease expires
  };
  /// What all snapshots of a process have in common.
  struct Common {
    Settings settings;                   ///< the operator's settings
    std::string region;                  ///< region of this router; empty: none
    std::set<std::string> decode_kinds;  ///< kinds of nodes that pools consist of
  };
  /// `pools`: the pools that may migrate.
  LeaseSnapshot(std::shared_ptr<const Common> common, std::map<PoolName, Entry> pools)
      : common_(std::move(common)), pools_(std::move(pools)) {}

  /// Returns the overlay of a node. It is empty for nodes of other kinds and for nodes outside of all
  /// regions.
  FleetView::NodeOverlay overlay(const Node& node) const;
  /// The entries of the pools that may migrate.
  const std::map<PoolName, Entry>& pools() const { return pools_; }

 private:
  std::shared_ptr<const Common> common_;
  std::map<PoolName, Entry> pools_;
};

/// Whether the pool never migrates: it belongs to a reserve, or to a region without grantors. Only the
/// settings decide this, because node lists may differ between routers.
bool never_migrates(const Settings& settings, const std::string& region, const PoolName& pool);

}  // namespace lemonroute::pools
