// What operators see of the map, on the management listener.
#include <nlohmann/json.hpp>

#include "tiers/extension.h"

namespace lemonroute::tiers {

namespace {
nlohmann::json described(const Level& level, const std::string& me) {
  nlohmann::json shards_of = nlohmann::json::array();
  for (std::size_t shard = 0; shard < shards; ++shard)
    shards_of.push_back({{"shard", shard},
                         {"keepers", level.homes().collectors(shard)},
                         {"kept_here", level.homes().keeps(me, shard)},
                         {"headed_here", level.homes().heads(me, shard)}});
  const auto& counts = level.vote_table().counts();
  return {{"members", level.homes().members().size()},
          {"shards", shards_of},
          {"keys_kept", level.vote_table().size()},
          {"keys_headed", level.announcements().size()},
          {"keys_told", level.told().size()},
          {"votes", counts.votes},
          {"evicted", counts.evicted + level.told().evicted()},
          {"over_quota", counts.over_quota},
          {"expired", counts.expired},
          {"told_by_no_keeper", level.not_collectors()}};
}
}  // namespace

nlohmann::json Tiers::describe(Micros now) const {
  nlohmann::json traffic = nlohmann::json::object();
  for (const auto& [kind, counts] : known_.traffic)
    traffic[kind] = {{"payloads_out", counts.payloads_out},
                     {"bytes_out", counts.bytes_out},
                     {"payloads_in", counts.payloads_in},
                     {"bytes_in", counts.bytes_in}};
  nlohmann::json devices = nlohmann::json::object();
  for (const auto& [id, device] : devices_)
    if (const auto* generation = known_.generations.find(id))
      devices[device.name] = {{"start", generation->start},
                              {"losses",
                               {generation->lanes & 0xffff, generation->lanes >> 16 & 0xffff,
                                generation->lanes >> 32 & 0xffff, generation->lanes >> 48}}};
  const auto& generations = known_.generations.counts();
  return {{"device",
           {{"keys", device_.size()}, {"evicted", device_.evicted()}, {"worth_error", device_.error()}}},
          {"site", described(site_, known_.options.name)},
          {"region", described(region_, known_.options.name)},
          {"map", {{"version", map_->version()}, {"keys", map_->keys()}, {"holders_bound", holders_bound}}},
          {"eras",
           {{"known", known_.generations.size()},
            {"digest", known_.generations.digest()},
            {"advanced", generations.advanced},
            {"voids_told", generations.told_voids},
            {"voids_held_back", generations.held_back},
            {"losses_disproved", generations.disproved},
            {"refused", generations.refused},
            {"devices", devices}}},
          {"trust",
           {{"judged", known_.trust.size()},
            {"distrusted", known_.trust.distrusted(now)},
            {"hints_denied", known_.denied.size()}}},
          {"traffic", traffic},
          {"dropped", known_.dropped}};
}

}  // namespace lemonroute::tiers
