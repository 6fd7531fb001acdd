// What pools do with time: questions, plans, proposals. What comes in is in extension/heard.cpp.
#include <algorithm>

#include "pools/extension.h"
#include "pools/extension/planners.h"

namespace lemonroute::pools {

Pools::Pools(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      planning_(options_.settings),
      sum_(options_.settings.influence),
      questions_(options_.settings.terms, seed),
      by_(seed ^ hash_text(options_.name) ^ options_.start),
      mark_(options_.settings.mark()) {
  for (const auto& [name, settings] : options_.settings.regions)
    regions_.push_back({name, &settings});
  me_ = region_of(options_.site);
  frame_ = std::make_shared<const Rights::Frame>(
      Rights::Frame{options_.settings, me_ ? regions_[*me_].name : "", options_.writers});
  rights_ = std::make_shared<const Rights>(frame_, std::map<PoolName, Rights::Entry>());
  if (!me_)
    return;
  const auto& keepers = regions_[*me_].settings->keepers;
  if (std::find(keepers.begin(), keepers.end(), options_.name) != keepers.end())
    keeper_.emplace(options_.settings.terms, *me_);
}

std::optional<RegionId> Pools::region_of(const std::string& site) const {
  for (RegionId r = 0; r < regions_.size(); ++r) {
    const auto& sites = regions_[r].settings->sites;
    if (std::find(sites.begin(), sites.end(), site) != sites.end())
      return r;
  }
  return std::nullopt;
}

std::optional<RegionId> Pools::region_of_member(std::string_view name) const {
  const auto* member = view_.find(name);
  return member ? region_of(member->site) : std::nullopt;
}

std::size_t Pools::routers_of(RegionId region) const {
  return static_cast<std::size_t>(
      std::count_if(view_.members.begin(), view_.members.end(), [&](auto& member) {
        return member.is_live() && !member.unreachable_from_here && region_of(member.site) == region;
      }));
}

bool Pools::kept_here(const PoolName& pool) const {
  return keeper_ && keeps_ && !replaced_ && region_of(pool.site) == me_ &&
         !never_moves(options_.settings, regions_[*me_].name, pool);
}

void Pools::keep(bool on, Micros now) {
  if (on && !keeps_ && keeper_)
    keeper_->start(now);
  keeps_ = on;
}

void Pools::on_view_change(Micros now, const peers::View& view) {
  view_ = view;
  if (!started_) {
    started_ = true;
    if (keeper_)
      keeper_->start(now);
    // Routers that start together don't ask together.
    asks_at_ = now + Micros(by_ % static_cast<std::uint64_t>(options_.settings.terms.asks_every().count()));
    plans_at_ = now + options_.settings.terms.lease;
  }
  // Guards against two keepers under one name, whose promises know nothing of each other: the older process
  // is silent from the moment on at which it hears of the newer one, for good.
  if (const auto* self = view.self(); self && self->start > options_.start)
    replaced_ = true;
}

void Pools::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  stock_ = take_stock(nodes, options_.settings, options_.writers);
  std::erase_if(pools_, [this](const auto& one) { return !stock_.writers.contains(one.first); });
  for (const auto& [name, writers] : stock_.writers) {
    const auto home = region_of(name.site);
    if (!home || never_moves(options_.settings, regions_[*home].name, name))
      continue;
    const auto& terms = options_.settings.terms;
    pools_.try_emplace(name, Pool{Holder(terms, me_.value_or(static_cast<RegionId>(regions_.size())), *home,
                                         regions_[*home].settings->keepers),
                                  Move(terms, *home, options_.cold_for)});
  }
  refresh(now);
}

void Pools::on_demand(const NodeObserver::Demand& seen, Micros now) {
  own_.add(seen, now);
}

bool Pools::plans() const {
  return keeper_ && keeps_ && !replaced_ &&
         planner_of(regions_[*me_].name, regions_[*me_].settings->keepers, view_) == options_.name;
}

void Pools::ask_all(Micros now, peers::Outbox& out) {
  if (!me_)
    return;  // of no region: it is promised nothing
  for (RegionId home = 0; home < regions_.size(); ++home) {
    wire::Ask ask{0, *me_, {}};
    for (const auto& [name, pool] : pools_)
      if (pool.holder.home() == home)
        ask.pools.push_back({name, pool.holder.owned(), false, false});
    if (ask.pools.empty())
      continue;
    for (const auto& keeper : regions_[home].settings->keepers) {
      if (keeper == options_.name) {
        for (auto& entry : ask.pools)
          if (kept_here(entry.pool))
            pools_.at(entry.pool)
                .holder.answered(keeper, now, keeper_->ask(entry.pool, *me_, entry.owned, now), now);
        continue;
      }
      ask.nonce = questions_.ask(keeper, now);
      for (auto& payload : wire::write(ask, mark_, now))
        out.send(topic(), keeper, std::move(payload));
    }
  }
}

void Pools::tell_demand(Micros now, peers::Outbox& out) {
  const auto report = own_.report(now);
  if (!report)
    return;
  if (me_)
    sum_.heard(*me_, options_.name, *report, now);
  for (const auto& region : regions_)
    for (const auto& keeper : region.settings->keepers)
      if (keeper != options_.name)
        for (auto& payload : wire::write(*report, mark_, now))
          out.send(topic(), keeper, std::move(payload));
}

void Pools::follow(Pool& pool, Micros now) {
  pool.move.see({pool.holder.owned(), pool.holder.held_by_owner(now), pool.holder.heard(now)}, now);
}

void Pools::make_plan(Micros now) {
  const auto shares = planning_.shares(now, stock_);
  wishes_.clear();
  std::vector<bool> takes, keepers;
  for (RegionId r = 0; r < regions_.size(); ++r) {
    const auto routers = routers_of(r);
    wishes_.push_back(wish_of(options_.settings, shares[r], sum_.writers(r, routers, now), stock_.all()));
    takes.push_back(routers > 0 && regions_[r].blocked_until <= now);
    keepers.push_back(majority_there(regions_[r].settings->keepers, view_));
  }
  std::map<PoolName, Planning::PoolState> states;
  for (auto& [name, pool] : pools_) {
    const auto home = pool.holder.home();
    Planning::PoolState state{regions_[pool.holder.owned().owner].name, "", pool.move.moving(now)};
    if (!keepers[home] || !pool.holder.heard(now))
      state.fixed = "its keepers don't answer";
    // What can't move is in nobody's way: a move that has come to a halt elsewhere does not use up what may
    // move at once.
    if (!state.fixed.empty())
      state.moving = false;
    states.emplace(name, std::move(state));
  }
  // Planned anew each time, and a plan that was not begun is worth nothing.
  for (auto& [name, pool] : pools_)
    pool.move.unplan();
  plan_ = planner::plan(planning_.inputs(stock_, wishes_, states, takes));
  for (const auto& move : plan_.moves) {
    const auto at = pools_.find(move.pool);
    if (at == pools_.end())
      continue;
    const auto to =
        std::find_if(regions_.begin(), regions_.end(), [&](auto& region) { return region.name == move.to; });
    at->second.move.plan(static_cast<RegionId>(to - regions_.begin()), move.why);
  }
}

void Pools::propose(Micros now, peers::Outbox& out) {
  for (auto& [name, pool] : pools_) {
    if (pool.holder.home() != *me_)
      continue;
    const auto to = pool.move.proposal(now);
    if (!to)
      continue;
    if (pool.move.undoes(now)) {
      ++counts_.undone;
      // Guards against a pool that is lent to and fro: whoever can't be reached now is not lent to for a
      // while.
      regions_[pool.holder.owned().owner].blocked_until = now + 20 * options_.settings.terms.lease;
    }
    ++counts_.proposed;
    const auto& last = pool.holder.owned().ballot;
    const wire::Entry entry{name, {{last.counter + 1, *me_, by_}, *to, Micros(0)}, false, false};
    for (const auto& keeper : regions_[*me_].settings->keepers) {
      if (keeper == options_.name)
        keeper_->learn(name, entry.owned);
      else
        for (auto& payload : wire::write(wire::Propose{entry}, mark_, now))
          out.send(topic(), keeper, std::move(payload));
    }
    // This router stops sending there by its own word, before any answer.
    pool.holder.learn(entry.owned);
    follow(pool, now);
  }
}

void Pools::run_due(Micros now, peers::Outbox& out) {
  if (!started_ || now < asks_at_)
    return;
  asks_at_ = now + options_.settings.terms.asks_every();
  ask_all(now, out);
  for (auto& [name, pool] : pools_)
    follow(pool, now);
  if (now >= plans_at_) {
    plans_at_ = now + options_.settings.plans_every;
    tell_demand(now, out);
    make_plan(now);
  }
  if (plans())
    propose(now, out);
  refresh(now);
}

Micros Pools::next_due() const {
  return started_ ? asks_at_ : Micros::max();
}

void Pools::refresh(Micros now) {
  std::map<PoolName, Rights::Entry> entries;
  for (const auto& [name, pool] : pools_)
    if (const auto right = pool.holder.right(now))
      entries[name] = {false, right->started, right->until};
    else
      entries[name] = {};
  // A right that lasts a little longer is no news; one that is renewed once in three questions is.
  const Micros news = options_.settings.terms.lease / 6;
  const auto& last = rights_->pools();
  const bool same =
      last.size() == entries.size() &&
      std::equal(last.begin(), last.end(), entries.begin(), [news](const auto& a, const auto& b) {
        return a.first == b.first && a.second.away == b.second.away && a.second.started == b.second.started &&
               (a.second.away ||
                (b.second.until >= a.second.until && b.second.until - a.second.until < news));
      });
  if (same)
    return;
  rights_ = std::make_shared<const Rights>(frame_, std::move(entries));
  ++version_;
}

}  // namespace lemonroute::pools
