// What is usual among the nodes of a role, worked out at most once an event, before its first choice.
#pragma once

#include "decode_load.h"
#include "prefill_wait.h"
#include "slow_start.h"

namespace lemonroute::decisions {

inline void survey(State& s) {
  if (s.surveyed) return;
  s.surveyed = true;
  const auto& classes = s.settings.classes;  // what they aim at only ranks nodes while nothing is learned
  const double aim = classes.empty() ? 1 : std::max(1.0, us(classes[0].aim_per_1000_tokens) / 1000);
  for (const Role role : {Role::read, Role::write, Role::both}) {
    Pool& p = s.pools[role] = Pool{.warm_work = s.pools[role].warm_work};
    Mean others, queued_root, warm_work;
    Micros heard{};  // the newest report
    for (const auto& [id, node] : s.nodes) {
      if (!node.listed() || node.role != role) continue;
      p.nodes += 1;
      const bool set_aside = failure_share(s, node) >= eject_at;
      p.ejected += set_aside;
      others.add(node.others.value, node.others.trust(s.now, s.fade));
      heard = std::max(heard, node.others.at);
      queued_root.add(std::sqrt(node.others_queued.value), node.others_queued.trust(s.now, s.fade));
      if (!set_aside && !cold(s, node)) warm_work.add(node.work_rate.value(s.now, s.fade));
    }
    const auto* usual = lookup(s.usual_rate, role);
    p.rate = usual ? usual->value() : s.any_rate.known ? s.any_rate.value : aim;
    // Danger: a mean cancels the weights of old reports; who refuses all for full nodes hears no new ones.
    const double recent = std::min(1.0, std::exp(1 - us(s.now - heard) / us(s.fade)));
    p.others = s.reported ? recent * others.value() : s.turned_away.faded(s.now, s.fade);
    // The mean of roots, so that one jammed prefill node does not stand for all.
    const double alike = std::max(0.0, s.inferred[role].faded(s.now, s.fade));
    p.queued = std::pow(queued_root.value(), 2) + alike;
    if (warm_work.total > 0) p.warm_work = warm_work.value();
    // Danger: the last warm node drains while its successors are cold, which would get next to nothing. Its
    // load goes on to count, and of prefill nodes the rate learned from prefills.
    else if (role == Role::read && usual) p.warm_work = 1 / std::max(0.1, p.rate) / s.settings.siblings;
  }
  for (const Role role : {Role::read, Role::both}) {
    Mean waits;
    for (const auto& [id, node] : s.nodes)
      if (node.listed() && node.role == role) waits.add(prefill_wait(s, node));
    s.pools[role].wait = waits.value();
  }
}

}  // namespace lemonroute::decisions
