#include "pools/planner/planner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>
#include <tuple>

#include "pools/planner/allocation.h"

namespace lemonroute::pools::planner {
namespace {

std::string format_count(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

// A migration that the plan may take up.
struct Candidate {
  std::size_t pool;  // index in Allocation::pools()
  std::string to;
  double gain, distance;
};

// The needed migration with the largest gain. Ties: the least distance, then the pool's name, then the name
// of the region it migrates to.
std::optional<Candidate> best_needed_migration(const Allocation& allocation, double hysteresis) {
  std::optional<Candidate> best;
  for (std::size_t i = 0; i < allocation.pools().size(); ++i) {
    const Pool& pool = allocation.pools()[i];
    if (!allocation.blocked_reason(pool).empty())
      continue;
    for (const auto& [region, state] : allocation.regions()) {
      if (region == pool.owner || !state.region->accepts_pools || state.shortage() <= 0)
        continue;
      const Candidate candidate{i, region, allocation.gain(pool, region), allocation.distance(region, pool)};
      if (candidate.gain <= hysteresis)
        continue;
      // Sums of doubles in another order differ in their last digits, so gains are compared to a thousandth
      // of a decode node.
      const auto rank = [](const Candidate& c) {
        return std::tuple(-std::llround(c.gain * 1000), c.distance);
      };
      if (!best || rank(candidate) < rank(*best))
        best = candidate;
    }
  }
  return best;
}

// A pool that its borrower has to spare. The farthest from its borrower first, then by name.
std::optional<Candidate> best_return(const Allocation& allocation, double hysteresis) {
  std::optional<Candidate> best;
  for (std::size_t i = 0; i < allocation.pools().size(); ++i) {
    const Pool& pool = allocation.pools()[i];
    if (pool.owner == pool.home || !allocation.has_region(pool.home) ||
        !allocation.regions().at(pool.home).region->accepts_pools || !allocation.blocked_reason(pool).empty())
      continue;
    const auto owner = allocation.regions().find(pool.owner);
    if (owner != allocation.regions().end() &&
        owner->second.decode_nodes - pool.decode_nodes < owner->second.region->wanted + hysteresis)
      continue;
    const Candidate candidate{i, pool.home, 0, allocation.distance(pool.owner, pool)};
    if (!best || candidate.distance > best->distance)
      best = candidate;
  }
  return best;
}

// Names the constraint that keeps the most decode nodes of other regions from a region that is short.
Shortage explain_shortage(const Allocation& allocation, const Inputs& inputs, const std::string& region,
                          double shortage, bool limit_reached) {
  std::map<std::string, double> blocked_nodes;
  double available = 0, lost = 0, wanted = 0;
  for (const auto& pool : allocation.pools()) {
    (allocation.site_lost(pool) ? lost : available) += pool.decode_nodes;
    if (pool.owner == region || allocation.site_lost(pool))
      continue;
    std::string why = allocation.blocked_reason(pool);
    if (why.empty()) {
      const double gain = allocation.gain(pool, region);
      if (gain > inputs.settings.hysteresis)
        why = "moving at once";  // only the limit of concurrent migrations can have prevented it
      else
        why = gain > 0 ? "hysteresis" : "wanted by its owner";
    }
    blocked_nodes[why] += pool.decode_nodes;
  }
  for (const auto& one : inputs.regions)
    wanted += one.wanted;
  std::string constraint = "pools";
  if (!allocation.regions().at(region).region->accepts_pools)
    constraint = "nobody there answers";
  else if (limit_reached && blocked_nodes["moving at once"] > 0)
    constraint = "moving at once";
  else if (wanted > available + 1e-9)
    constraint = wanted > available + lost + 1e-9 ? "writers in all" : "site lost";
  else {
    double most = 0;
    for (const auto& [why, decode_nodes] : blocked_nodes)
      if (decode_nodes > most + 1e-9)
        constraint = why, most = decode_nodes;
  }
  return {region, constraint,
          region + " is short of " + format_count(shortage) + " writers: " + constraint +
              (constraint == "writers in all" || constraint == "site lost"
                   ? ", all regions want " + format_count(wanted) + " of " + format_count(available)
                   : "")};
}

}  // namespace

Plan plan(const Inputs& inputs) {
  Plan plan;
  Allocation allocation(inputs);
  const double hysteresis = inputs.settings.hysteresis;
  const auto migrating = static_cast<std::size_t>(
      std::count_if(inputs.pools.begin(), inputs.pools.end(), [](auto& pool) { return pool.migrating; }));
  std::size_t remaining = inputs.settings.max_concurrent_migrations > migrating
                              ? inputs.settings.max_concurrent_migrations - migrating
                              : 0;
  const auto add_migration = [&](const Candidate& candidate, std::string why) {
    const Pool& pool = allocation.pools()[candidate.pool];
    plan.migrations.push_back({pool.name, pool.owner, candidate.to, std::move(why)});
    allocation.move(candidate.pool, candidate.to);
    --remaining;
  };
  while (remaining > 0) {
    const auto candidate = best_needed_migration(allocation, hysteresis);
    if (!candidate)
      break;
    const auto& borrower = allocation.regions().at(candidate->to);
    add_migration(*candidate, candidate->to + " is short of " + format_count(borrower.shortage()) +
                                  " writers of " + format_count(borrower.region->wanted));
  }
  while (remaining > 0) {
    const auto candidate = best_return(allocation, hysteresis);
    if (!candidate)
      break;
    add_migration(*candidate, allocation.pools()[candidate->pool].owner + " has it left over");
  }
  for (const auto& [region, state] : allocation.regions())
    if (state.shortage() > hysteresis)
      plan.shortages.push_back(
          explain_shortage(allocation, inputs, region, state.shortage(), remaining == 0));
  return plan;
}

}  // namespace lemonroute::pools::planner
