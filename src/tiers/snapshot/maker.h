// Makes the map from what was told, what is believed of the tellers, and which generations hold.
#pragma once

#include "tiers/share/known.h"
#include "tiers/snapshot/map.h"
#include "tiers/store/told.h"

namespace lemonroute::tiers {

class MapMaker {
 public:
  struct Device {
    std::string name, zone;
  };
  using Devices = std::unordered_map<NameId, Device>;  // of the own list: of others nothing can be said

  static std::shared_ptr<const Map> make(const Known& known, const Devices& devices, const Told& site,
                                         const Told& region, std::uint64_t version, Micros now);
  // How sure a hint is: fading with its age, by the trust in the contributor and the teller; 0: not to be
  // given.
  static double confidence(const Known& known, KeyId key, const Told::Row& row, const Shown& holder,
                           Micros now);

  static constexpr double across = 0.8;  // of a device in another site
  static constexpr double least = 0.02;  // less is no hint
};

}  // namespace lemonroute::tiers
