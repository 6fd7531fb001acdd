// The periodic work of the protocol.
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {
namespace {

constexpr std::size_t leave_fanout = 32;  // members to which a leave is announced directly
constexpr std::uint64_t forget_every_periods = 16;

}  // namespace

Membership::Membership(AgentOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      table_(std::max<std::size_t>(options_.max_members, 2)),
      self_(
          {options_.name, options_.site, options_.address, options_.start, 0, Standing::alive, options_.name},
          options_.period),
      view_builder_(options_.name, options_.period),
      sequence_(random_.next_u32()) {
  if (options_.seeds.size() > limits::max_seeds)
    options_.seeds.resize(limits::max_seeds);
}

void Membership::start(Micros now) {
  now_ = started_ = now;
  std::string evicted;
  table_.add(self_.fact(), now, &evicted);
  // A random offset, so that routers that start together do not all probe at the same moment.
  next_tick_ =
      now +
      Micros(random_.below(static_cast<std::size_t>(options_.period.count() / limits::ticks_per_period)));
}

void Membership::run_due(Micros now) {
  if (left_ || now < next_tick_)
    return;
  now_ = now;
  const Micros tick = options_.period / limits::ticks_per_period, late = now - next_tick_;
  if (late > options_.period / 2) {
    // This process was stalled, and what others sent meanwhile is not read yet, so members must not be judged
    // by it.
    ++counters_.overslept;
    health_.degrade();
    probe_.reset();
    period_ends_ = tick_;
    table_.postpone_suspicions(late);
    next_tick_ = now;
  }
  this->tick();
  next_tick_ += tick;
  if (next_tick_ <= now)
    next_tick_ = now + tick;  // missed ticks are not caught up
}

void Membership::tick() {
  ++tick_;
  if (probe_ && probe_->indirect_at <= tick_ && probe_->helpers_asked == 0)
    request_indirect_pings();
  if (probe_ && probe_->ends_at <= tick_)
    finish_probe();
  while (auto expired = indirect_pings_.take_expired(tick_))
    send(expired->requester_address, wire::Nack{expired->request_sequence, expired->target});
  send_final_pings();
  declare_gone(now_);
  if (tick_ >= period_ends_)
    begin_period();
  if (!probe_)
    start_probe();
  if (tick_ % 2 == 0)
    send_unawaited_ping();
  if (tick_ % limits::gossip_interval_ticks == 0)
    gossip();
}

void Membership::begin_period() {
  period_ends_ = tick_ + limits::ticks_per_period;
  ++periods_;
  sync_sent_ = false;
  syncs_answered_ = unawaited_pings_ = final_pings_ = 0;
  payloads_sent_ = 0;
  if (self_.check_reclaim(now_) == OwnIdentity::Change::reclaimed) {
    ++counters_.reclaimed;
    update_self();
  }
  if (self_.superseded() && self_.successor()->address != self_.fact().address)
    send(self_.successor()->address, wire::Ping{0, self_.fact().name, table_.digest()});
  if (periods_ % forget_every_periods == 0)
    forget_expired_members();
  if (periods_ % limits::gone_ping_periods == 0 || view_builder_.minority_since())
    if (Entry* gone = probe_order_.random_member(random_, Standing::gone))
      send(gone->fact.address, wire::Ping{0, gone->fact.name, table_.digest()}, gone);
  if (table_.live_count() <= 1 || periods_ % limits::seed_ping_periods == 0)
    ping_seed();
  view_builder_.update_minority(table_, now_);
}

void Membership::forget_expired_members() {
  const Micros before = now_ - options_.period * limits::gone_retention_periods;
  std::vector<std::string> expired;
  for (const auto& [name, entry] : table_.entries())
    if (!entry.fact.is_live() && entry.standing_since < before)
      expired.push_back(name);
  for (const auto& name : expired) {
    Entry* entry = table_.find(name);
    probe_order_.remove(*entry);
    broadcasts_.drop(*entry);
    table_.remove(name);
  }
}

void Membership::leave(Micros now) {
  if (left_)
    return;
  now_ = now;
  const bool silent = self_.superseded();  // a newer process holds the name, so nothing is announced
  self_.mark_left();
  left_ = true;
  if (silent)
    return;
  Entry* self = table_.find(self_.fact().name);
  table_.update(*self, self_.fact(), now_);
  // Sent to many members, which pass it on to any that missed it.
  for (Entry* to : probe_order_.random_across_sites(random_, nullptr, leave_fanout))
    send(to->fact.address, wire::Facts{}, self);
}

}  // namespace lemonroute::peers::membership
