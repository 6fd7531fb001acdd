// What comes in from other routers, and what operators are shown.
#include <nlohmann/json.hpp>

#include "pools/extension.h"
#include "pools/extension/planners.h"

namespace lemonroute::pools {

void Pools::receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) {
  const auto read = wire::read(bytes, mark_, regions_.size(), now);
  if (!read.message) {
    ++(read.fault == wire::Fault::mark ? counts_.other_settings : counts_.unreadable);
    return;
  }
  std::visit([&](const auto& message) { take(message, from, now, out); }, *read.message);
  refresh(now);
}

void Pools::take(const wire::Ask& ask, std::string_view from, Micros now, peers::Outbox& out) {
  // A router asks for the region it stands in; one that the view does not have yet will ask again.
  if (region_of_member(from) != ask.region) {
    ++counts_.strangers;
    return;
  }
  wire::Grant grant{ask.nonce, false, {}};
  for (const auto& entry : ask.pools) {
    if (!kept_here(entry.pool))
      continue;
    const auto answer = keeper_->ask(entry.pool, ask.region, entry.owned, now);
    grant.pools.push_back({entry.pool, answer.owned, answer.ok, answer.active});
    grant.abstains = keeper_->abstains(now);
  }
  for (auto& payload : wire::write(grant, mark_, now))
    out.send(topic(), from, std::move(payload));
}

void Pools::take(const wire::Grant& grant, std::string_view from, Micros now, peers::Outbox&) {
  const auto sent = questions_.sent(from, grant.nonce, now);
  if (!sent) {
    ++counts_.unasked;
    return;
  }
  for (const auto& entry : grant.pools) {
    const auto at = pools_.find(entry.pool);
    if (at == pools_.end())
      continue;
    at->second.holder.answered(std::string(from), *sent, {entry.owned, entry.ok, entry.active}, now);
    follow(at->second, now);
  }
}

void Pools::take(const wire::Propose& propose, std::string_view from, Micros now, peers::Outbox&) {
  if (!me_ || region_of_member(from) != me_) {  // only its own region lends a pool
    ++counts_.strangers;
    return;
  }
  if (kept_here(propose.pool.pool))
    keeper_->learn(propose.pool.pool, propose.pool.owned);
  if (const auto at = pools_.find(propose.pool.pool); at != pools_.end()) {
    at->second.holder.learn(propose.pool.owned);
    follow(at->second, now);
  }
}

void Pools::take(const Report& report, std::string_view from, Micros now, peers::Outbox&) {
  if (const auto region = region_of_member(from))
    sum_.heard(*region, from, report, now);
  else
    ++counts_.strangers;
}

nlohmann::json Pools::describe(Micros now) const {
  const auto ms = [](Micros span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  nlohmann::json to;
  to["region"] = me_ ? regions_[*me_].name : "";
  to["plans"] = plans();
  if (keeper_)
    to["keeper"] = {
        {"on", keeps_ && !replaced_}, {"abstains", keeper_->abstains(now)}, {"pools", keeper_->size()}};
  for (RegionId r = 0; r < regions_.size(); ++r) {
    auto& region = to["regions"][regions_[r].name];
    region["planner"] = planner_of(regions_[r].name, regions_[r].settings->keepers, view_);
    if (r >= wishes_.size())
      continue;
    region["share"] = wishes_[r].share;
    region["wanted"] = wishes_[r].wanted;
    if (wishes_[r].demand)
      region["demand"] = *wishes_[r].demand;
  }
  to["pools"] = nlohmann::json::array();
  for (const auto& [name, writers] : stock_.writers) {
    nlohmann::json one{{"pool", name.text()}, {"writers", writers}};
    const auto home = region_of(name.site);
    one["home"] = home ? regions_[*home].name : "";
    const auto at = pools_.find(name);
    one["moves"] = at != pools_.end();
    if (at == pools_.end()) {
      one["owner"] = one["home"];
      one["ours"] = home == me_;
      one["state"] = step_text(Step::serving);
    } else {
      const auto& [holder, move] = at->second;
      one["owner"] = regions_[holder.owned().owner].name;
      one["epoch"] = holder.owned().ballot.counter;
      one["state"] = step_text(move.step(now));
      one["held"] = holder.held_by_owner(now);
      const auto right = holder.right(now);
      one["ours"] = right.has_value();
      if (right)
        one["right_ms"] = ms(right->until - now);
    }
    to["pools"].push_back(std::move(one));
  }
  to["plan"]["moves"] = nlohmann::json::array();
  for (const auto& move : plan_.moves)
    to["plan"]["moves"].push_back(
        {{"pool", move.pool.text()}, {"from", move.from}, {"to", move.to}, {"why", move.why}});
  to["plan"]["blames"] = nlohmann::json::array();
  for (const auto& blame : plan_.blames)
    to["plan"]["blames"].push_back(
        {{"region", blame.region}, {"constraint", blame.constraint}, {"text", blame.text}});
  to["lost_sites"] = stock_.lost;
  to["counts"] = {{"unreadable", counts_.unreadable}, {"other_settings", counts_.other_settings},
                  {"strangers", counts_.strangers},   {"unasked", counts_.unasked},
                  {"proposed", counts_.proposed},     {"undone", counts_.undone}};
  return to;
}

}  // namespace lemonroute::pools
