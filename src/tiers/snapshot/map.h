// The map as the serving loop reads it: made on the peers' thread, never changed afterwards, bounded.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/fleet_view.h"
#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Map : public FleetView {
 public:
  struct Held {
    std::uint32_t node = 0;  // index of `nodes`
    float tokens = 0, confidence = 0;
  };
  explicit Map(const Names& names) : names_(names) {}

  std::uint64_t version() const { return version_; }  // grows with each map that differs
  // Best first, most_hints at the most. A key's holders are the same few at all routers of a site
  // (holders_bound of them), so that a hot opening is read at no more devices than that.
  std::vector<CacheLocation> cache_locations(Key session, Key shared) const override;
  Micros cache_lost_at(const Node& node) const override;  // the last loss that others told of it; 0: none
  std::size_t keys() const { return held_[0].size() + held_[1].size(); }

 private:
  friend class MapMaker;
  Names names_;
  std::uint64_t version_ = 0;
  std::vector<std::string> nodes_;
  struct Row {
    KeyId key = 0;
    std::size_t count = 0;
    std::array<Held, holders_bound> held;
  };
  std::array<std::vector<Row>, 2> held_;  // of each tier, by key
  std::unordered_map<std::string, Micros> lost_;
};

}  // namespace lemonroute::tiers
