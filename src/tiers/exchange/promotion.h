/// \file
/// Promotion of keys from the site tier to the region tier.
#pragma once

#include "tiers/exchange/cache_tier.h"

namespace lemonroute::tiers {

/// Votes in the region for the heaviest keys of the site's shards that this router heads. Promotes only keys
/// with enough tokens to be worth a transfer between sites and with holders that this router or two routers
/// have seen.
class Promotion {
 public:
  /// Resends the votes of these shards because their collectors have changed.
  void resend(const std::vector<std::size_t>& changed_shards);
  /// Sends the votes that are new, changed or due for a refresh, and withdraws those of other keys.
  void run(Micros now, const Options& options, NameId own_id, const CacheTier& site, CacheTier& region,
           ByteBudget& budget, peers::Outbox& out);
  /// Number of promoted keys.
  std::size_t size() const { return promoted_.size(); }

 private:
  struct Promoted {
    CacheEntry cache_entry;
    Micros sent_at{};
  };
  std::map<KeyId, Promoted> promoted_;
};

}  // namespace lemonroute::tiers
