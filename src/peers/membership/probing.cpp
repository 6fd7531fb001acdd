// Whom this router asks, and what it makes of the answers.
#include <algorithm>

#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

void Membership::probe() {
  Entry* target = nullptr;
  const auto doubted = std::find_if(again_.begin(), again_.end(), [&](const std::string& name) {
    target = table_.find(name);
    return target && target->fact.there();
  });
  if (doubted != again_.end())
    again_.erase(doubted);
  else
    target = nullptr;
  if (!target)
    target = order_.next(random_);
  if (!target)
    return;
  ++counters_.probes;
  const auto factor = static_cast<std::uint64_t>(health_.factor());
  probe_ = Probe{};
  probe_->name = target->fact.name;
  probe_->start = target->fact.start;
  probe_->sequence = ++sequence_ ? sequence_ : ++sequence_;
  probe_->ask_at = tick_ + limits::probe_ticks * factor;
  probe_->judge_at = tick_ + limits::ticks * factor;
  send(target->fact.address, wire::Ping{probe_->sequence, probe_->name, table_.digest()}, target);
}

void Membership::ask_helpers() {
  const Entry* target = table_.find(probe_->name);
  if (probe_->direct || !target)
    return;
  for (Entry* helper : order_.helpers(random_, target, limits::helpers)) {
    ++probe_->asked;
    ++counters_.indirect;
    send(helper->fact.address, wire::Ask{probe_->sequence, probe_->name, target->fact.address}, target);
  }
  probe_->ask_at = ~0ull;
}

void Membership::judge_probe() {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  Entry* target = table_.find(probe.name);
  if (!target || !target->fact.there() || target->fact.start != probe.start)
    return;
  switch (probe.verdict()) {
    case Probe::Verdict::well:
      health_.better();
      return;
    case Probe::Verdict::well_by_others:
      if (target->direct_failed < limits::unreachable)
        ++target->direct_failed;
      if (target->direct_failed >= limits::unreachable)
        table_.set_unreachable(*target, true);
      else
        again(probe.name);  // is it the way to it, or was a datagram lost?
      return;
    case Probe::Verdict::missed:
      break;
  }
  ++counters_.probes_failed;
  if (probe.own_fault())
    health_.worse();
  Fact missed = target->fact;
  missed.standing = Standing::suspected;
  missed.by = own_.own().name;
  take(missed, own_.own(), false);
}

// Pings that nobody waits for: they tell a member what is said against it, so that it can refute.
void Membership::send_aside() {
  if (asides_ >= limits::asides || again_.empty())
    return;
  const Entry* target = table_.find(again_.back());
  if (target && target->fact.there() && again_.size() < 2)
    return;  // the next probe asks it
  again_.pop_back();
  if (!target)
    return;
  ++asides_;
  send(target->fact.address, wire::Ping{0, target->fact.name, table_.digest()}, target);
}

void Membership::again(std::string_view name) {
  if (again_.size() >= limits::again || std::find(again_.begin(), again_.end(), name) != again_.end())
    return;
  again_.emplace_back(name);
}

// One is enough to join. Later, a seed that is no member any more leads back to a part of the fleet that was
// forgotten.
void Membership::ping_seed() {
  const auto is_member = [&](const std::string& address) {
    return std::any_of(table_.entries().begin(), table_.entries().end(), [&](const auto& named) {
      return named.second.fact.there() && named.second.fact.address == address;
    });
  };
  for (std::size_t tried = 0; tried < options_.seeds.size(); ++tried) {
    const std::string& seed = options_.seeds[next_seed_++ % options_.seeds.size()];
    if (is_member(seed))
      continue;  // this router's own address among them
    send(seed, wire::Ping{0, "", table_.digest()});
    return;
  }
}

}  // namespace lemonroute::peers::membership
