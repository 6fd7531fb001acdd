// Probing of members: which to ping, and how to judge the answers.
#include <algorithm>

#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

void Membership::start_probe() {
  Entry* target = nullptr;
  const auto prioritized =
      std::find_if(priority_probes_.begin(), priority_probes_.end(), [&](const std::string& name) {
        target = table_.find(name);
        return target && target->fact.is_live();
      });
  if (prioritized != priority_probes_.end())
    priority_probes_.erase(prioritized);
  else
    target = nullptr;
  if (!target)
    target = probe_order_.next(random_);
  if (!target)
    return;
  ++counters_.probes;
  const auto timeout_factor = static_cast<std::uint64_t>(health_.timeout_factor());
  probe_ = Probe{};
  probe_->name = target->fact.name;
  probe_->start = target->fact.start;
  probe_->sequence = ++sequence_ ? sequence_ : ++sequence_;
  probe_->indirect_at = tick_ + limits::direct_probe_ticks * timeout_factor;
  probe_->ends_at = tick_ + limits::ticks_per_period * timeout_factor;
  send(target->fact.address, wire::Ping{probe_->sequence, probe_->name, table_.digest()}, target);
}

void Membership::request_indirect_pings() {
  const Entry* target = table_.find(probe_->name);
  if (probe_->direct_ack || !target)
    return;
  for (Entry* helper : probe_order_.random_across_sites(random_, target, limits::helpers_per_probe)) {
    ++probe_->helpers_asked;
    ++counters_.indirect;
    send(helper->fact.address, wire::PingRequest{probe_->sequence, probe_->name, target->fact.address},
         target);
  }
  probe_->indirect_at = ~0ull;
}

void Membership::finish_probe() {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  Entry* target = table_.find(probe.name);
  if (!target || !target->fact.is_live() || target->fact.start != probe.start)
    return;
  switch (probe.outcome()) {
    case Probe::Outcome::acked:
      health_.improve();
      return;
    case Probe::Outcome::acked_indirectly:
      if (target->direct_probe_failures < limits::unreachable_after_probes)
        ++target->direct_probe_failures;
      if (target->direct_probe_failures >= limits::unreachable_after_probes)
        table_.set_unreachable(*target, true);
      else
        queue_priority_probe(probe.name);  // probe again to tell a broken path from a lost datagram
      return;
    case Probe::Outcome::failed:
      break;
  }
  ++counters_.probes_failed;
  if (probe.local_fault_likely())
    health_.degrade();
  Fact suspected = target->fact;
  suspected.standing = Standing::suspected;
  suspected.reported_by = self_.fact().name;
  merge(suspected, self_.fact(), false);
}

// Pings a member without awaiting an ack: the ping carries the claim against it, so that it can refute.
void Membership::send_unawaited_ping() {
  if (unawaited_pings_ >= limits::max_unawaited_pings || priority_probes_.empty())
    return;
  const Entry* target = table_.find(priority_probes_.back());
  if (target && target->fact.is_live() && priority_probes_.size() < 2)
    return;  // the next probe pings it
  priority_probes_.pop_back();
  if (!target)
    return;
  ++unawaited_pings_;
  send(target->fact.address, wire::Ping{0, target->fact.name, table_.digest()}, target);
}

void Membership::queue_priority_probe(std::string_view name) {
  if (priority_probes_.size() >= limits::max_priority_probes ||
      std::find(priority_probes_.begin(), priority_probes_.end(), name) != priority_probes_.end())
    return;
  priority_probes_.emplace_back(name);
}

// One seed is enough to join. Later, a seed that is not a member may lead to a part of the fleet that this
// router has forgotten.
void Membership::ping_seed() {
  const auto is_member = [&](const std::string& address) {
    return std::any_of(table_.entries().begin(), table_.entries().end(), [&](const auto& named) {
      return named.second.fact.is_live() && named.second.fact.address == address;
    });
  };
  for (std::size_t tried = 0; tried < options_.seeds.size(); ++tried) {
    const std::string& seed = options_.seeds[next_seed_++ % options_.seeds.size()];
    if (is_member(seed))
      continue;  // a member, or this router itself
    send(seed, wire::Ping{0, "", table_.digest()});
    return;
  }
}

}  // namespace lemonroute::peers::membership
