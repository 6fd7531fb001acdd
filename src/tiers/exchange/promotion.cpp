#include "tiers/exchange/promotion.h"

namespace lemonroute::tiers {

namespace {
constexpr std::size_t max_promoted_holders = 2;  // per site
}

void Promotion::resend(const std::vector<std::size_t>& changed_shards) {
  std::erase_if(promoted_, [&](const auto& one) {
    return std::find(changed_shards.begin(), changed_shards.end(), shard_of(one.first)) !=
           changed_shards.end();
  });
}

void Promotion::run(Micros now, const Options& options, NameId own_id, const CacheTier& site,
                    CacheTier& region, ByteBudget& budget, peers::Outbox& out) {
  CacheTier::VoteBatch batch;
  std::map<KeyId, Promoted> current;
  const auto min_tokens = static_cast<std::uint32_t>(options.limits.min_promotion_tokens);
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    if (!site.shard_collectors().is_head(options.name, shard))
      continue;
    for (const auto* cache_entry :
         site.advertised().heaviest(shard, region.vote_table().quota(), min_tokens)) {
      auto promoted_entry = *cache_entry;
      // In the region this router is the contributor of the vote. A holder needs sightings of two routers or
      // of this one, so a lying router of the site cannot make an honest head spread its claims.
      std::erase_if(promoted_entry.holders, [&](const AdvertisedHolder& one) {
        return one.vote_count < 2 && one.contributor != own_id;
      });
      if (promoted_entry.holders.empty())
        continue;
      if (promoted_entry.holders.size() > max_promoted_holders)
        promoted_entry.holders.resize(max_promoted_holders);
      const auto previous = promoted_.find(cache_entry->key);
      const bool changed = previous == promoted_.end() ||
                           significantly_differ(previous->second.cache_entry.holders, promoted_entry.holders);
      if ((!changed && now - previous->second.sent_at < options.limits.refresh_interval) ||
          budget.remaining() <= 0) {
        if (previous != promoted_.end())
          current[cache_entry->key] = previous->second;
        continue;
      }
      region.vote(batch, promoted_entry, now, budget, out);
      current[cache_entry->key] = {std::move(promoted_entry), now};
    }
  }
  for (const auto& [key, promoted] : promoted_)
    if (!current.count(key) && site.shard_collectors().is_head(options.name, shard_of(key)))
      region.vote(batch, CacheEntry{key, 0, {}}, now, budget, out);  // withdrawn
  promoted_ = std::move(current);
  region.flush(batch, budget, out);
}

}  // namespace lemonroute::tiers
