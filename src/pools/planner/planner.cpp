#include "pools/planner/planner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>
#include <tuple>

#include "pools/planner/balance.h"

namespace lemonroute::pools::planner {
namespace {

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

struct Choice {
  std::size_t pool;
  std::string to;
  double gain, distance;
};

// The needed move that gains most. Ties: least distance, then the pool's name, then the taker's.
std::optional<Choice> needed(const Balance& balance, double hysteresis) {
  std::optional<Choice> best;
  for (std::size_t i = 0; i < balance.pools().size(); ++i) {
    const Pool& pool = balance.pools()[i];
    if (!balance.held_by(pool).empty())
      continue;
    for (const auto& [region, stand] : balance.stands()) {
      if (region == pool.owner || !stand.region->takes || stand.short_by() <= 0)
        continue;
      const Choice one{i, region, balance.gain(pool, region), balance.distance(region, pool)};
      if (one.gain <= hysteresis)
        continue;
      // Sums of doubles in another order differ in their last digits: gains are compared to a thousandth of a
      // writer.
      const auto rank = [](const Choice& c) { return std::tuple(-std::llround(c.gain * 1000), c.distance); };
      if (!best || rank(one) < rank(*best))
        best = one;
    }
  }
  return best;
}

// A pool that its borrower has left over. The farthest from its borrower first, then by name.
std::optional<Choice> homeward(const Balance& balance, double hysteresis) {
  std::optional<Choice> best;
  for (std::size_t i = 0; i < balance.pools().size(); ++i) {
    const Pool& pool = balance.pools()[i];
    if (pool.owner == pool.home || !balance.known(pool.home) ||
        !balance.stands().at(pool.home).region->takes || !balance.held_by(pool).empty())
      continue;
    const auto owner = balance.stands().find(pool.owner);
    if (owner != balance.stands().end() &&
        owner->second.writers - pool.writers < owner->second.region->wanted + hysteresis)
      continue;
    const Choice one{i, pool.home, 0, balance.distance(pool.owner, pool)};
    if (!best || one.distance > best->distance)
      best = one;
  }
  return best;
}

// Of all that keeps others' pools from a region that is short, what keeps most writers from it.
Blame blame(const Balance& balance, const Inputs& inputs, const std::string& region, double missing,
            bool capped) {
  std::map<std::string, double> held;
  double all = 0, lost = 0, wanted = 0;
  for (const auto& pool : balance.pools()) {
    (balance.lost(pool) ? lost : all) += pool.writers;
    if (pool.owner == region || balance.lost(pool))
      continue;
    std::string why = balance.held_by(pool);
    if (why.empty()) {
      const double gain = balance.gain(pool, region);
      if (gain > inputs.settings.hysteresis)
        why = "moving at once";  // only the cap can have kept it
      else
        why = gain > 0 ? "hysteresis" : "wanted by its owner";
    }
    held[why] += pool.writers;
  }
  for (const auto& one : inputs.regions)
    wanted += one.wanted;
  std::string worst = "pools";
  if (!balance.stands().at(region).region->takes)
    worst = "nobody there answers";
  else if (capped && held["moving at once"] > 0)
    worst = "moving at once";
  else if (wanted > all + 1e-9)
    worst = wanted > all + lost + 1e-9 ? "writers in all" : "site lost";
  else {
    double most = 0;
    for (const auto& [why, writers] : held)
      if (writers > most + 1e-9)
        worst = why, most = writers;
  }
  return {region, worst,
          region + " is short of " + number(missing) + " writers: " + worst +
              (worst == "writers in all" || worst == "site lost"
                   ? ", all regions want " + number(wanted) + " of " + number(all)
                   : "")};
}

}  // namespace

Plan plan(const Inputs& inputs) {
  Plan plan;
  Balance balance(inputs);
  const double hysteresis = inputs.settings.hysteresis;
  const auto moving = static_cast<std::size_t>(
      std::count_if(inputs.pools.begin(), inputs.pools.end(), [](auto& pool) { return pool.moving; }));
  std::size_t free = inputs.settings.moving_at_once > moving ? inputs.settings.moving_at_once - moving : 0;
  const auto make = [&](const Choice& choice, std::string why) {
    const Pool& pool = balance.pools()[choice.pool];
    plan.moves.push_back({pool.name, pool.owner, choice.to, std::move(why)});
    balance.move(choice.pool, choice.to);
    --free;
  };
  while (free > 0) {
    const auto choice = needed(balance, hysteresis);
    if (!choice)
      break;
    const auto& taker = balance.stands().at(choice->to);
    make(*choice, choice->to + " is short of " + number(taker.short_by()) + " writers of " +
                      number(taker.region->wanted));
  }
  while (free > 0) {
    const auto choice = homeward(balance, hysteresis);
    if (!choice)
      break;
    make(*choice, balance.pools()[choice->pool].owner + " has it left over");
  }
  for (const auto& [region, stand] : balance.stands())
    if (stand.short_by() > hysteresis)
      plan.blames.push_back(blame(balance, inputs, region, stand.short_by(), free == 0));
  return plan;
}

}  // namespace lemonroute::pools::planner
