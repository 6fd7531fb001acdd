// One guide out of several: how many routers there are, and what each extension has to say of nodes and
// prompts.
#pragma once

#include <memory>
#include <vector>

#include "core/fleet_view.h"

namespace lemonroute::guide {

class FleetGuide final : public FleetView {
 public:
  using Parts = std::vector<std::shared_ptr<const FleetView>>;
  FleetGuide(std::uint32_t siblings, Parts parts) : siblings_(siblings), parts_(std::move(parts)) {}

  std::uint32_t router_count() const override { return siblings_; }
  // Away where one of them says so, started when the last of them says, until the first of them ends.
  NodeOverlay overlay(const Node& node) const override;
  std::vector<CacheLocation> cache_locations(Key session, Key shared) const override;  // of all of them
  Micros cache_lost_at(const Node& node) const override;                               // the last of them

 private:
  std::uint32_t siblings_;
  Parts parts_;
};

}  // namespace lemonroute::guide
