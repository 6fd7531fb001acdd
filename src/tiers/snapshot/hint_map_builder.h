/// \file
/// Builds the hint map.
#pragma once

#include "tiers/exchange/shared_state.h"
#include "tiers/snapshot/hint_map.h"
#include "tiers/store/received_entries.h"

namespace lemonroute::tiers {

/// Builds hint maps from the received entries, the trust in their senders and the current cache epochs.
class HintMapBuilder {
 public:
  /// A device of this router's endpoint list.
  struct Device {
    std::string name;  ///< name of the node
    std::string zone;  ///< its site
  };
  /// The listed devices; there are no hints for others.
  using Devices = std::unordered_map<NameId, Device>;

  /// Builds a map from the entries of both tiers.
  static std::shared_ptr<const HintMap> build(const SharedState& state, const Devices& devices,
                                              const ReceivedEntries& site, const ReceivedEntries& region,
                                              std::uint64_t version, Micros now);
  /// Returns the confidence of a hint from its age and the trust in its contributor and sender; 0: no hint.
  static double confidence(const SharedState& state, KeyId key, const ReceivedEntries::Entry& entry,
                           const AdvertisedHolder& holder, Micros now);

  static constexpr double cross_site_factor = 0.8;  ///< confidence factor of a device in another site
  static constexpr double min_confidence = 0.02;    ///< below this there is no hint
};

}  // namespace lemonroute::tiers
