// The state of the cache tiers as JSON for the management listener.
#include <nlohmann/json.hpp>

#include "tiers/extension.h"

namespace lemonroute::tiers {

namespace {
nlohmann::json describe_tier(const CacheTier& tier, const std::string& own_name) {
  nlohmann::json described_shards = nlohmann::json::array();
  for (std::size_t shard = 0; shard < shard_count; ++shard)
    described_shards.push_back({{"shard", shard},
                                {"keepers", tier.shard_collectors().collectors(shard)},
                                {"kept_here", tier.shard_collectors().is_collector(own_name, shard)},
                                {"headed_here", tier.shard_collectors().is_head(own_name, shard)}});
  const auto& counts = tier.vote_table().counts();
  return {{"members", tier.shard_collectors().members().size()},
          {"shards", described_shards},
          {"keys_kept", tier.vote_table().size()},
          {"keys_headed", tier.advertised().size()},
          {"keys_told", tier.received().size()},
          {"votes", counts.votes},
          {"evicted", counts.evicted + tier.received().evicted()},
          {"over_quota", counts.over_quota},
          {"expired", counts.expired},
          {"told_by_no_keeper", tier.non_collector_entries()}};
}
}  // namespace

nlohmann::json TiersExtension::describe(Micros now) const {
  nlohmann::json traffic = nlohmann::json::object();
  for (const auto& [kind, counts] : state_.traffic)
    traffic[kind] = {{"payloads_out", counts.payloads_out},
                     {"bytes_out", counts.bytes_out},
                     {"payloads_in", counts.payloads_in},
                     {"bytes_in", counts.bytes_in}};
  nlohmann::json devices = nlohmann::json::object();
  for (const auto& [id, device] : devices_)
    if (const auto* epoch = state_.epochs.find(id))
      devices[device.name] = {{"start", epoch->start},
                              {"losses",
                               {epoch->loss_counts & 0xffff, epoch->loss_counts >> 16 & 0xffff,
                                epoch->loss_counts >> 32 & 0xffff, epoch->loss_counts >> 48}}};
  const auto& epoch_counts = state_.epochs.counts();
  return {{"device",
           {{"keys", device_tier_.size()},
            {"evicted", device_tier_.evicted()},
            {"worth_error", device_tier_.error()}}},
          {"site", describe_tier(site_, state_.options.name)},
          {"region", describe_tier(region_, state_.options.name)},
          {"map", {{"version", map_->version()}, {"keys", map_->keys()}, {"holders_bound", max_holders}}},
          {"eras",
           {{"known", state_.epochs.size()},
            {"digest", state_.epochs.digest()},
            {"advanced", epoch_counts.advanced},
            {"voids_told", epoch_counts.invalidations},
            {"voids_held_back", epoch_counts.suppressed_invalidations},
            {"losses_disproved", epoch_counts.disproved},
            {"refused", epoch_counts.refused},
            {"devices", devices}}},
          {"trust",
           {{"judged", state_.trust.size()},
            {"distrusted", state_.trust.distrusted_count(now)},
            {"hints_denied", state_.false_hints.size()}}},
          {"traffic", traffic},
          {"dropped", state_.dropped}};
}

}  // namespace lemonroute::tiers
