// The choice of the prefill node: Mooncake's Algorithm 1.
#pragma once

#include "eligibility.h"

namespace lemonroute::decisions {

constexpr double prefill_weight = 3;  // prefill time against wait in a node's score, at the least
constexpr double crowding = 8;        // how much dearer prefill time gets when every node has a queue
constexpr double crossing = 0.03;     // of its aim a request may wait longer to stay in its zone
constexpr double idle_wait = 0.1;     // a node whose wait is this part of the aim at the most counts as idle

// The missing prefix is charged as prefill time in both branches, since cached prefixes can't be moved; the
// second one differs in that the node becomes a new home, which `record` does at the send.
inline Pick choose_prefill(State& s, const Job& job, HostId avoid = 0) {
  survey(s);
  const std::vector<HostId> at_home = homes(s, job);
  const double guess = at_home.empty() ? 0 : home_guess(s, job);
  const auto weigh = [&](const Node& node, Pick& pick) -> const char* {
    pick.known = pick.credit = prefix_match(s, node, job);
    if (std::ranges::count(at_home, pick.host))
      pick.credit = std::max(pick.credit, pick.host == at_home.front() ? guess : job.shared);
    pick.wait = prefill_wait(s, node);
    pick.read = (job.prompt - pick.credit) * prefill_rate(s, node);
    // Where all prefill nodes of a role have queues, each token prefilled anew there delays all behind it.
    const double crowded = std::min(1.0, s.pool(node.role).wait / std::max(1.0, job.aim));
    pick.score = pick.wait + (prefill_weight + crowding * crowded) * pick.read;
    pick.score += failure_share(s, node) * job.aim +
                  unsure(job, node, node.prefill_rate.trust(s.now, s.fade)) * pick.read;
    if (job.tried(pick.host)) pick.score += job.aim;
    if (node.entry.zone != s.settings.zone) pick.score += crossing * job.aim;
    if (node.role == Role::both) {  // it would answer too: its answers' slowness and memory count
      const double held = load(s, node) + job.prompt / std::max(1.0, node.memory);
      if (held > full_at) return "its memory is full";
      pick.score += (slowness(s, node) - 1 + held) * job.aim / 4;
    }
    return nullptr;
  };
  Pick best;
  for (const auto& pick : candidates(s, job, Role::read, avoid, weigh))
    if (pick.score < best.score) best = pick;
  return choose(s, best);
}

// Danger: a session whose text is kept at a jammed node is refused turn after turn while other nodes are
// idle. The idle one that would be done first, if it is in time for the aim.
inline Pick choose_idle_prefill(State& s, const Job& job) {
  const auto weigh = [&](const Node& node, Pick& pick) -> const char* {
    pick.known = pick.credit = prefix_match(s, node, job);
    pick.wait = prefill_wait(s, node);
    pick.read = (job.prompt - pick.credit) * prefill_rate(s, node);
    pick.score = pick.wait + pick.read;
    const bool idle = pick.wait <= idle_wait * job.aim && pick.score <= job.aim && node.role == Role::read;
    return idle ? nullptr : "not idle, or too late for the aim";
  };
  Pick best;
  for (const auto& pick : candidates(s, job, Role::read, 0, weigh))
    if (pick.score < best.score) best = pick;
  return choose(s, best);
}

}  // namespace lemonroute::decisions
