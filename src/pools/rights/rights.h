// What this router may send to, as the serving loop reads it. Never changes once it is made.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/fleet_view.h"
#include "pools/settings.h"

namespace lemonroute::pools {

class Rights {
 public:
  struct Entry {
    bool away = true;
    Micros started{};  // 0: as listed
    Micros until = Micros::max();
  };
  struct Frame {  // what does not change from one to the next
    Settings settings;
    std::string region;             // this router's; empty: none
    std::set<std::string> writers;  // kinds of nodes that pools are made of
  };
  Rights(std::shared_ptr<const Frame> frame, std::map<PoolName, Entry> pools)
      : frame_(std::move(frame)), pools_(std::move(pools)) {}

  // Readers and nodes outside all regions are left as they are.
  FleetView::NodeOverlay overlay(const Node& node) const;
  const std::map<PoolName, Entry>& pools() const { return pools_; }

 private:
  std::shared_ptr<const Frame> frame_;
  std::map<PoolName, Entry> pools_;
};

// A pool that never moves: of the reserve, or of a region without keepers. Settled by the file alone, since
// lists may differ from one router to the next.
bool never_moves(const Settings& settings, const std::string& region, const PoolName& pool);

}  // namespace lemonroute::pools
