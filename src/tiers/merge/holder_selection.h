/// \file
/// Selection of the few devices to advertise for a key from the votes of the contributors.
#pragma once

#include <functional>
#include <vector>

#include "tiers/merge/vote_set.h"

namespace lemonroute::tiers {

/// A device that holds a key's KV cache, as advertised to other routers.
struct AdvertisedHolder {
  NameId device = 0;            ///< the device
  CacheEpoch epoch{};           ///< its cache epoch when the key was seen there
  std::uint32_t tokens = 0;     ///< cached tokens, from the beginning of the prompt
  std::uint8_t confidence = 0;  ///< 255: certain
  Micros seen_at{};             ///< last sighting, on this router's clock
  NameId contributor = 0;       ///< the contributor whose token count is used
  std::uint8_t vote_count = 1;  ///< number of contributors
};

/// What this router knows about the validity of votes.
struct SelectionContext {
  /// Whether a sighting from this epoch is valid.
  std::function<bool(NameId device, const CacheEpoch&)> is_current;
  std::function<double(NameId contributor)> trust;  ///< 0 to 1
  Micros now{};                                     ///< the current time
  Micros half_life{};                               ///< half-life of the confidence
};

/// Returns the confidence from 0 to 1 after exponential decay since the sighting.
double decayed_confidence(std::uint8_t confidence, Micros seen_at, Micros now, Micros half_life);

/// Returns the best holders first, at most max_holders. The token count of a holder is the second largest
/// that is claimed, or the only one, so that a single contributor cannot raise it above what another claims.
/// The holders of `previous` get a bonus, so that all routers keep using the same few holders.
std::vector<AdvertisedHolder> select_holders(const VoteSet& vote_set,
                                             const std::vector<AdvertisedHolder>& previous,
                                             const SelectionContext& context);

/// Whether the change is large enough to be advertised at once instead of with the next refresh.
bool significantly_differ(const std::vector<AdvertisedHolder>& a, const std::vector<AdvertisedHolder>& b);

}  // namespace lemonroute::tiers
