// Handles messages of other routers, and describes the state for operators.
#include <nlohmann/json.hpp>

#include "pools/extension.h"
#include "pools/extension/planner_selection.h"

namespace lemonroute::pools {

void PoolsExtension::receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) {
  const auto read = wire::read(bytes, fingerprint_, regions_.size(), now);
  if (!read.message) {
    ++(read.fault == wire::ReadFault::settings_mismatch ? counts_.other_settings : counts_.unreadable);
    return;
  }
  std::visit([&](const auto& message) { handle(message, from, now, out); }, *read.message);
  update_snapshot(now);
}

void PoolsExtension::handle(const wire::LeaseRequest& ask, std::string_view from, Micros now,
                            peers::Outbox& out) {
  // A router may request leases only for its own region. A router that the view does not have yet requests
  // them again later.
  if (region_of_member(from) != ask.region) {
    ++counts_.wrong_region;
    return;
  }
  wire::LeaseAnswer grant{ask.nonce, false, {}};
  for (const auto& entry : ask.pools) {
    if (!is_grantor_of(entry.pool))
      continue;
    const auto answer = grantor_->request(entry.pool, ask.region, entry.ownership, now);
    grant.pools.push_back({entry.pool, answer.ownership, answer.granted, answer.granted_to_owner});
    grant.abstains = grantor_->abstains(now);
  }
  for (auto& payload : wire::write(grant, fingerprint_, now))
    out.send(topic(), from, std::move(payload));
}

void PoolsExtension::handle(const wire::LeaseAnswer& grant, std::string_view from, Micros now,
                            peers::Outbox&) {
  const auto sent_at = sent_requests_.sent_at(from, grant.nonce, now);
  if (!sent_at) {
    ++counts_.unsolicited;
    return;
  }
  for (const auto& entry : grant.pools) {
    const auto found = pools_.find(entry.pool);
    if (found == pools_.end())
      continue;
    found->second.holder.on_answer(std::string(from), *sent_at,
                                   {entry.ownership, entry.granted, entry.granted_to_owner}, now);
    update_migration(found->second, now);
  }
}

void PoolsExtension::handle(const wire::Proposal& propose, std::string_view from, Micros now,
                            peers::Outbox&) {
  // Only routers of the home region propose migrations of a pool.
  if (!own_region_ || region_of_member(from) != own_region_) {
    ++counts_.wrong_region;
    return;
  }
  if (is_grantor_of(propose.pool.pool))
    grantor_->learn(propose.pool.pool, propose.pool.ownership);
  if (const auto found = pools_.find(propose.pool.pool); found != pools_.end()) {
    found->second.holder.learn(propose.pool.ownership);
    update_migration(found->second, now);
  }
}

void PoolsExtension::handle(const DemandReport& report, std::string_view from, Micros now, peers::Outbox&) {
  if (const auto region = region_of_member(from))
    demand_sum_.on_report(*region, from, report, now);
  else
    ++counts_.wrong_region;
}

nlohmann::json PoolsExtension::describe(Micros now) const {
  const auto ms = [](Micros span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  nlohmann::json result;
  result["region"] = own_region_ ? regions_[*own_region_].name : "";
  result["plans"] = is_planner();
  if (grantor_)
    result["keeper"] = {{"on", grantor_enabled_ && !replaced_},
                        {"abstains", grantor_->abstains(now)},
                        {"pools", grantor_->size()}};
  for (RegionId r = 0; r < regions_.size(); ++r) {
    auto& region = result["regions"][regions_[r].name];
    region["planner"] = select_planner(regions_[r].name, regions_[r].settings->grantors, view_);
    if (r >= wishes_.size())
      continue;
    region["share"] = wishes_[r].share;
    region["wanted"] = wishes_[r].wanted;
    if (wishes_[r].demand)
      region["demand"] = *wishes_[r].demand;
  }
  result["pools"] = nlohmann::json::array();
  for (const auto& [name, decode_nodes] : inventory_.decode_nodes) {
    nlohmann::json entry{{"pool", name.text()}, {"writers", decode_nodes}};
    const auto home = region_of(name.site);
    entry["home"] = home ? regions_[*home].name : "";
    const auto found = pools_.find(name);
    entry["moves"] = found != pools_.end();
    if (found == pools_.end()) {
      entry["owner"] = entry["home"];
      entry["ours"] = home == own_region_;
      entry["state"] = phase_text(MigrationPhase::serving);
    } else {
      const auto& [holder, migration] = found->second;
      entry["owner"] = regions_[holder.ownership().owner].name;
      entry["epoch"] = holder.ownership().ballot.counter;
      entry["state"] = phase_text(migration.phase(now));
      entry["held"] = holder.owner_has_quorum(now);
      const auto lease = holder.lease(now);
      entry["ours"] = lease.has_value();
      if (lease)
        entry["right_ms"] = ms(lease->expires_at - now);
    }
    result["pools"].push_back(std::move(entry));
  }
  result["plan"]["moves"] = nlohmann::json::array();
  for (const auto& move : plan_.migrations)
    result["plan"]["moves"].push_back(
        {{"pool", move.pool.text()}, {"from", move.from}, {"to", move.to}, {"why", move.why}});
  result["plan"]["blames"] = nlohmann::json::array();
  for (const auto& shortage : plan_.shortages)
    result["plan"]["blames"].push_back(
        {{"region", shortage.region}, {"constraint", shortage.constraint}, {"text", shortage.text}});
  result["lost_sites"] = inventory_.lost_sites;
  result["counts"] = {{"unreadable", counts_.unreadable},  {"other_settings", counts_.other_settings},
                      {"strangers", counts_.wrong_region}, {"unasked", counts_.unsolicited},
                      {"proposed", counts_.proposed},      {"undone", counts_.returned}};
  return result;
}

}  // namespace lemonroute::pools
