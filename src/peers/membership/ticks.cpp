// What is done by the clock.
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

Membership::Membership(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      table_(std::max<std::size_t>(options_.most_members, 2)),
      own_(
          {options_.name, options_.site, options_.address, options_.start, 0, Standing::alive, options_.name},
          options_.period),
      present_(options_.name, options_.period),
      sequence_(random_.word()) {
  if (options_.seeds.size() > limits::seeds)
    options_.seeds.resize(limits::seeds);
}

void Membership::start(Micros now) {
  now_ = started_ = now;
  std::string nobody;
  table_.add(own_.own(), now, &nobody);
  // Routers that were started together don't all probe at the same moment.
  next_tick_ = now + Micros(random_.below(static_cast<std::size_t>(options_.period.count() / limits::ticks)));
}

void Membership::run_due(Micros now) {
  if (left_ || now < next_tick_)
    return;
  now_ = now;
  const Micros tick = options_.period / limits::ticks, late = now - next_tick_;
  if (late > options_.period / 2) {
    // Guards against judging others after this process itself stood still: what they said meanwhile isn't
    // read yet.
    ++counters_.overslept;
    health_.worse();
    probe_.reset();
    period_ends_ = tick_;
    table_.shift_suspicions(late);
    next_tick_ = now;
  }
  this->tick();
  next_tick_ += tick;
  if (next_tick_ <= now)
    next_tick_ = now + tick;  // late ticks are not made up for
}

void Membership::tick() {
  ++tick_;
  if (probe_ && probe_->ask_at <= tick_ && probe_->asked == 0)
    ask_helpers();
  if (probe_ && probe_->judge_at <= tick_)
    judge_probe();
  while (auto late = helping_.late(tick_))
    send(late->asker_address, wire::Nack{late->theirs, late->of});
  last_calls();
  give_up(now_);
  if (tick_ >= period_ends_)
    begin_period();
  if (!probe_)
    probe();
  if (tick_ % 2 == 0)
    send_aside();
  if (tick_ % limits::gossip_ticks == 0)
    gossip();
}

void Membership::begin_period() {
  period_ends_ = tick_ + limits::ticks;
  ++periods_;
  synced_ = false;
  syncs_answered_ = asides_ = last_calls_ = 0;
  payloads_ = 0;
  if (own_.check(now_) == OwnName::Then::reclaimed) {
    ++counters_.reclaimed;
    self_changed();
  }
  if (own_.superseded() && own_.later()->address != own_.own().address)
    send(own_.later()->address, wire::Ping{0, own_.own().name, table_.digest()});
  if (periods_ % 16 == 0)
    forget_old();
  if (periods_ % limits::gone_ping == 0 || present_.minority_since())
    if (Entry* gone = order_.draw(random_, Standing::gone))
      send(gone->fact.address, wire::Ping{0, gone->fact.name, table_.digest()}, gone);
  if (table_.there() <= 1 || periods_ % limits::seed_ping == 0)
    ping_seed();
  present_.note(table_, now_);
}

void Membership::forget_old() {
  const Micros before = now_ - options_.period * limits::gone_for;
  std::vector<std::string> old;
  for (const auto& [name, entry] : table_.entries())
    if (!entry.fact.there() && entry.since < before)
      old.push_back(name);
  for (const auto& name : old) {
    Entry* entry = table_.find(name);
    order_.remove(*entry);
    news_.drop(*entry);
    table_.forget(name);
  }
}

void Membership::leave(Micros now) {
  if (left_)
    return;
  now_ = now;
  const bool quiet = own_.superseded();  // the name goes on without this process
  own_.end();
  left_ = true;
  if (quiet)
    return;
  Entry* self = table_.find(own_.own().name);
  table_.set(*self, own_.own(), now_);
  // To many at once: what is lost on the way to one, others tell it.
  for (Entry* to : order_.helpers(random_, nullptr, 32))
    send(to->fact.address, wire::Facts{}, self);
}

}  // namespace lemonroute::peers::membership
