// Periodic work: lease requests, plans and proposals. extension/messages.cpp handles received messages.
#include <algorithm>

#include "pools/extension.h"
#include "pools/extension/planner_selection.h"

namespace lemonroute::pools {

PoolsExtension::PoolsExtension(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      planning_(options_.settings),
      demand_sum_(options_.settings.max_influence),
      sent_requests_(options_.settings.terms, seed),
      process_id_(seed ^ hash_text(options_.name) ^ options_.start),
      fingerprint_(options_.settings.fingerprint()) {
  for (const auto& [name, settings] : options_.settings.regions)
    regions_.push_back({name, &settings});
  own_region_ = region_of(options_.site);
  snapshot_common_ = std::make_shared<const LeaseSnapshot::Common>(LeaseSnapshot::Common{
      options_.settings, own_region_ ? regions_[*own_region_].name : "", options_.decode_kinds});
  lease_snapshot_ =
      std::make_shared<const LeaseSnapshot>(snapshot_common_, std::map<PoolName, LeaseSnapshot::Entry>());
  if (!own_region_)
    return;
  const auto& grantors = regions_[*own_region_].settings->grantors;
  if (std::find(grantors.begin(), grantors.end(), options_.name) != grantors.end())
    grantor_.emplace(options_.settings.terms, *own_region_);
}

std::optional<RegionId> PoolsExtension::region_of(const std::string& site) const {
  for (RegionId r = 0; r < regions_.size(); ++r) {
    const auto& sites = regions_[r].settings->sites;
    if (std::find(sites.begin(), sites.end(), site) != sites.end())
      return r;
  }
  return std::nullopt;
}

std::optional<RegionId> PoolsExtension::region_of_member(std::string_view name) const {
  const auto* member = view_.find(name);
  return member ? region_of(member->site) : std::nullopt;
}

std::size_t PoolsExtension::count_routers(RegionId region) const {
  return static_cast<std::size_t>(
      std::count_if(view_.members.begin(), view_.members.end(), [&](auto& member) {
        return member.is_live() && !member.unreachable_from_here && region_of(member.site) == region;
      }));
}

bool PoolsExtension::is_grantor_of(const PoolName& pool) const {
  return grantor_ && grantor_enabled_ && !replaced_ && region_of(pool.site) == own_region_ &&
         !never_migrates(options_.settings, regions_[*own_region_].name, pool);
}

void PoolsExtension::enable_grantor(bool enabled, Micros now) {
  if (enabled && !grantor_enabled_ && grantor_)
    grantor_->start(now);
  grantor_enabled_ = enabled;
}

void PoolsExtension::on_view_change(Micros now, const peers::View& view) {
  view_ = view;
  if (!started_) {
    started_ = true;
    if (grantor_)
      grantor_->start(now);
    // A per-process offset spreads the requests of routers that start at the same time.
    next_request_at_ =
        now +
        Micros(process_id_ % static_cast<std::uint64_t>(options_.settings.terms.request_interval().count()));
    next_plan_at_ = now + options_.settings.terms.lease;
  }
  // Two grantors of one name do not know of each other's grants, so the older process stops answering for
  // good as soon as it learns of the newer one.
  if (const auto* self = view.self(); self && self->start > options_.start)
    replaced_ = true;
}

void PoolsExtension::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  inventory_ = build_inventory(nodes, options_.settings, options_.decode_kinds);
  std::erase_if(pools_, [this](const auto& one) { return !inventory_.decode_nodes.contains(one.first); });
  for (const auto& [name, writers] : inventory_.decode_nodes) {
    const auto home = region_of(name.site);
    if (!home || never_migrates(options_.settings, regions_[*home].name, name))
      continue;
    const auto& terms = options_.settings.terms;
    pools_.try_emplace(
        name, Pool{LeaseHolder(terms, own_region_.value_or(static_cast<RegionId>(regions_.size())), *home,
                               regions_[*home].settings->grantors),
                   Migration(terms, *home, options_.warmup)});
  }
  update_snapshot(now);
}

void PoolsExtension::on_demand(const NodeObserver::Demand& seen, Micros now) {
  local_demand_.add(seen, now);
}

bool PoolsExtension::is_planner() const {
  return grantor_ && grantor_enabled_ && !replaced_ &&
         select_planner(regions_[*own_region_].name, regions_[*own_region_].settings->grantors, view_) ==
             options_.name;
}

void PoolsExtension::request_leases(Micros now, peers::Outbox& out) {
  if (!own_region_)
    return;  // a router outside of all regions holds no leases
  for (RegionId home = 0; home < regions_.size(); ++home) {
    wire::LeaseRequest ask{0, *own_region_, {}};
    for (const auto& [name, pool] : pools_)
      if (pool.holder.home() == home)
        ask.pools.push_back({name, pool.holder.ownership(), false, false});
    if (ask.pools.empty())
      continue;
    for (const auto& grantor : regions_[home].settings->grantors) {
      if (grantor == options_.name) {
        for (auto& entry : ask.pools)
          if (is_grantor_of(entry.pool))
            pools_.at(entry.pool)
                .holder.on_answer(grantor, now,
                                  grantor_->request(entry.pool, *own_region_, entry.ownership, now), now);
        continue;
      }
      ask.nonce = sent_requests_.add(grantor, now);
      for (auto& payload : wire::write(ask, fingerprint_, now))
        out.send(topic(), grantor, std::move(payload));
    }
  }
}

void PoolsExtension::send_demand(Micros now, peers::Outbox& out) {
  const auto report = local_demand_.report(now);
  if (!report)
    return;
  if (own_region_)
    demand_sum_.on_report(*own_region_, options_.name, *report, now);
  for (const auto& region : regions_)
    for (const auto& grantor : region.settings->grantors)
      if (grantor != options_.name)
        for (auto& payload : wire::write(*report, fingerprint_, now))
          out.send(topic(), grantor, std::move(payload));
}

void PoolsExtension::update_migration(Pool& pool, Micros now) {
  pool.migration.observe(
      {pool.holder.ownership(), pool.holder.owner_has_quorum(now), pool.holder.quorum_answers(now)}, now);
}

void PoolsExtension::make_plan(Micros now) {
  const auto shares = planning_.shares(now, inventory_);
  wishes_.clear();
  std::vector<bool> accepts_pools, quorums;
  for (RegionId r = 0; r < regions_.size(); ++r) {
    const auto routers = count_routers(r);
    wishes_.push_back(region_target(options_.settings, shares[r], demand_sum_.decode_nodes(r, routers, now),
                                    inventory_.total()));
    accepts_pools.push_back(routers > 0 && regions_[r].blocked_until <= now);
    quorums.push_back(quorum_reachable(regions_[r].settings->grantors, view_));
  }
  std::map<PoolName, Planning::PoolState> states;
  for (auto& [name, pool] : pools_) {
    const auto home = pool.holder.home();
    Planning::PoolState state{regions_[pool.holder.ownership().owner].name, "",
                              pool.migration.migrating(now)};
    if (!quorums[home] || !pool.holder.quorum_answers(now))
      state.fixed_reason = "its keepers don't answer";
    // A pool that can't migrate does not count as migrating: a migration that is stalled elsewhere must not
    // use up the limit of concurrent migrations.
    if (!state.fixed_reason.empty())
      state.migrating = false;
    states.emplace(name, std::move(state));
  }
  // Each plan replaces the previous one: planned migrations that were not proposed are dropped.
  for (auto& [name, pool] : pools_)
    pool.migration.clear_plan();
  plan_ = planner::plan(planning_.inputs(inventory_, wishes_, states, accepts_pools));
  for (const auto& planned : plan_.migrations) {
    const auto found = pools_.find(planned.pool);
    if (found == pools_.end())
      continue;
    const auto to = std::find_if(regions_.begin(), regions_.end(),
                                 [&](auto& region) { return region.name == planned.to; });
    found->second.migration.plan(static_cast<RegionId>(to - regions_.begin()), planned.why);
  }
}

void PoolsExtension::send_proposals(Micros now, peers::Outbox& out) {
  for (auto& [name, pool] : pools_) {
    if (pool.holder.home() != *own_region_)
      continue;
    const auto to = pool.migration.proposal(now);
    if (!to)
      continue;
    if (pool.migration.returns_home(now)) {
      ++counts_.returned;
      // No pool is lent to an unreachable region for a while, because the pool would be lent and returned
      // again and again.
      regions_[pool.holder.ownership().owner].blocked_until = now + 20 * options_.settings.terms.lease;
    }
    ++counts_.proposed;
    const auto& last = pool.holder.ownership().ballot;
    const wire::PoolEntry entry{
        name, {{last.counter + 1, *own_region_, process_id_}, *to, Micros(0)}, false, false};
    for (const auto& grantor : regions_[*own_region_].settings->grantors) {
      if (grantor == options_.name)
        grantor_->learn(name, entry.ownership);
      else
        for (auto& payload : wire::write(wire::Proposal{entry}, fingerprint_, now))
          out.send(topic(), grantor, std::move(payload));
    }
    // This router stops sending to the pool at once, before any grantor answers.
    pool.holder.learn(entry.ownership);
    update_migration(pool, now);
  }
}

void PoolsExtension::run_due(Micros now, peers::Outbox& out) {
  if (!started_ || now < next_request_at_)
    return;
  next_request_at_ = now + options_.settings.terms.request_interval();
  request_leases(now, out);
  for (auto& [name, pool] : pools_)
    update_migration(pool, now);
  if (now >= next_plan_at_) {
    next_plan_at_ = now + options_.settings.plan_interval;
    send_demand(now, out);
    make_plan(now);
  }
  if (is_planner())
    send_proposals(now, out);
  update_snapshot(now);
}

Micros PoolsExtension::next_due() const {
  return started_ ? next_request_at_ : Micros::max();
}

void PoolsExtension::update_snapshot(Micros now) {
  std::map<PoolName, LeaseSnapshot::Entry> entries;
  for (const auto& [name, pool] : pools_)
    if (const auto lease = pool.holder.lease(now))
      entries[name] = {false, lease->started_at, lease->expires_at};
    else
      entries[name] = {};
  // A lease that lasts only a little longer makes no new snapshot. Leases are renewed every lease / 3, which
  // is above this limit.
  const Micros min_extension = options_.settings.terms.lease / 6;
  const auto& last = lease_snapshot_->pools();
  const bool same =
      last.size() == entries.size() &&
      std::equal(last.begin(), last.end(), entries.begin(), [min_extension](const auto& a, const auto& b) {
        return a.first == b.first && a.second.drained == b.second.drained &&
               a.second.started_at == b.second.started_at &&
               (a.second.drained || (b.second.expires_at >= a.second.expires_at &&
                                     b.second.expires_at - a.second.expires_at < min_extension));
      });
  if (same)
    return;
  lease_snapshot_ = std::make_shared<const LeaseSnapshot>(snapshot_common_, std::move(entries));
  ++version_;
}

}  // namespace lemonroute::pools
