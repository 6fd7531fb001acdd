// Which nodes may be chosen at all, and what is told of a choice to whoever asked for explanations.
#pragma once

#include "pool_norms.h"
#include "prefix_cache.h"

namespace lemonroute::decisions {

struct Pick {
  HostId host = 0;
  double wait = 0, read = 0, score = 1e18, credit = 0, known = 0;
  bool found = false;
  int near = 0;  // to the prefill node: 1 in its zone, 2 in its cell
};

// Rule 2, for a node that would answer.
inline bool may_serve(const State& s, const Job& job, const Node& node) {
  if (!job.ran) return true;
  const auto& first = job.attempts[*job.ran];
  const auto& c = *job.terms;
  if (c.effect == Effect::safe) return true;
  if (c.effect == Effect::unsafe) return false;
  if (s.now - first.sent >= c.window) return false;
  const Node* ran_at = lookup(s.nodes, first.host);
  if (c.group == Group::all || !ran_at) return c.group == Group::all;
  return c.group == Group::zone ? ran_at->entry.zone == node.entry.zone
                                : ran_at->entry.cell == node.entry.cell;
}

// Danger: many routers that know as little choose the same node. Among near equals it differs by request.
inline double unsure(const Job& job, const Node& node, double trust) {
  return (1 - trust) * near_margin * unit(mix(job.request.id ^ mix(node.entry.host)));
}

// Why a node can't be chosen now, in the words of an explanation; nothing if it can.
inline const char* unfit(State& s, const Job& job, Node& node, Role stage, HostId avoid) {
  if (!node.listed()) return "not ready in the list";
  if (ejected(s, node)) return "set aside, attempts fail there";
  if (node.role == (stage == Role::read ? Role::write : Role::read)) return "of the other role";
  if (node.entry.host == avoid) return "the attempt before was there";
  const bool answers = stage == Role::write || node.role == Role::both;
  if (answers && !may_serve(s, job, node)) return "may not do what may have run";
  // By the send's own figure: what passes here and fails there is refused, where another node would do.
  return admits_slow_start(s, node, s.work_of(job)) ? nullptr : "cold, its part is used up";
}

// The nodes that may be chosen, weighed: `weigh` fills in a pick, or returns what speaks against that node.
template <class Weigh>
std::vector<Pick> candidates(State& s, const Job& job, Role stage, HostId avoid, const Weigh& weigh) {
  std::vector<Pick> fit;
  s.choice = Choice{.id = job.request.id, .at = s.now, .stage = stage, .avoided = avoid};
  for (auto& [id, node] : s.nodes) {
    Pick pick{.host = id, .found = true};
    const char* no = unfit(s, job, node, stage, avoid);
    if (!no) no = weigh(node, pick);
    if (!no) fit.push_back(pick);
    if (!s.told_to) continue;
    if (no) pick = Pick{.score = 0};
    const double match = stage == Role::read ? prefix_match(s, node, job) : 0, rate = prefill_rate(s, node);
    s.choice.candidates.push_back({.host = id,
                                   .left_out = no,
                                   .match = match,
                                   .credit = pick.credit,
                                   .rate = rate,
                                   .unread = queued(s, node, rate),
                                   .load = load(s, node),
                                   .slowness = slowness(s, node),
                                   .failing = failure_share(s, node),
                                   .wait = micros(pick.wait),
                                   .read = micros(pick.read),
                                   .near = pick.near,
                                   .score = pick.score});
  }
  return fit;
}
inline Pick choose(State& s, const Pick& best) {
  s.choice.chosen = best.host;
  if (s.told_to) s.told_to(s.choice);
  return best;
}

}  // namespace lemonroute::decisions
