// What is done when a packet comes.
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

bool Membership::receive(Micros now, const Packet& packet) {
  if (left_)
    return false;
  now_ = std::max(now_, now);
  const Fact& sender = packet.sender;
  if (sender.name == own_.own().name) {
    if (process(sender) == process(own_.own()))
      return false;  // itself, by a seed's address
    own_.heard(sender, now_);
  }
  if (std::holds_alternative<wire::Payload>(packet.body)) {
    Entry* entry = table_.find(sender.name);
    if (!entry || sender.name == own_.own().name)
      return false;
    if (sender.start == entry->fact.start)
      heard_from(*entry);
    return true;
  }
  greet(sender);
  const Entry* held = table_.find(sender.name);
  if (!held)
    return false;  // there is no room for it
  // Whom others cannot reach takes them all for gone. What it says against them counts for nothing here.
  const bool only_good = !held->fact.there() && process(held->fact) == process(sender);
  if (only_good)
    ++counters_.from_the_gone;
  for (const Fact& fact : packet.facts)
    take(fact, sender, only_good);
  std::visit([&](const auto& body) { on(sender, body); }, packet.body);
  return true;
}

void Membership::greet(const Fact& sender) {
  Fact said = sender;
  said.standing = Standing::alive;
  said.by = sender.name;
  take(said, sender, false);
  Entry* entry = table_.find(sender.name);
  if (!entry || sender.name == own_.own().name || process(entry->fact) != process(sender))
    return;
  heard_from(*entry);
  if (!entry->fact.there())
    again(sender.name);  // it is told, and comes back by a later incarnation
}

void Membership::heard_from(Entry& entry) {
  entry.heard = now_;
}

void Membership::on(const Fact& sender, const wire::Ping& ping) {
  if (!ping.to.empty() && ping.to != own_.own().name)
    return;  // for who was here before
  const Entry* known = table_.find(sender.name);
  send(sender.address, wire::Ack{ping.sequence, own_.own().name, table_.digest(), own_.own().start}, known);
}

void Membership::on(const Fact& sender, const wire::Ask& ask) {
  if (ask.to == own_.own().name)
    return;
  Help help{++sequence_ ? sequence_ : ++sequence_,
            ask.sequence,
            sender.name,
            sender.address,
            ask.to,
            tick_ + limits::probe_ticks};
  const auto own = help.own;
  if (!helping_.add(std::move(help)))
    return;
  send(ask.address, wire::Ping{own, ask.to, table_.digest()}, table_.find(ask.to));
}

void Membership::on(const Fact& sender, const wire::Ack& ack) {
  if (sender.name == ack.of) {
    Entry* entry = table_.find(ack.of);
    const bool same = entry && process(entry->fact) == process(sender);
    if (same && entry->direct_failed) {
      entry->direct_failed = 0;
      table_.set_unreachable(*entry, false);
    }
    if (auto help = helping_.answered(ack.sequence, ack.of); help && same)
      send(help->asker_address, wire::Ack{help->theirs, help->of, 0, ack.start});
    if (probe_ && probe_->sequence == ack.sequence && probe_->name == ack.of && same)
      probe_->direct = true;
    if (ack.digest && ack.digest != table_.digest() && !synced_)
      sync_with(sender.address, false);
  } else if (probe_ && probe_->sequence == ack.sequence && probe_->name == ack.of) {
    // Guards against holding a process that is no more for alive, since a later one at its address answers
    // others.
    if (probe_->start == ack.start)
      probe_->indirect = true;
    ++probe_->answered;
  }
}

void Membership::on(const Fact&, const wire::Nack& nack) {
  if (probe_ && probe_->sequence == nack.sequence && probe_->name == nack.of)
    ++probe_->answered;
}

void Membership::on(const Fact& sender, const wire::Sync& sync) {
  if (!sync.answer && syncs_answered_ >= limits::syncs_answered) {
    ++counters_.syncs_refused;
    return;
  }
  const auto own = table_.buckets();
  std::vector<std::size_t> differ;
  for (std::size_t at = 0; at < own.size(); ++at)
    if (own[at] != sync.buckets[at])
      differ.push_back(at);
  if (!sync.answer) {
    ++syncs_answered_;
    sync_with(sender.address, true);
  } else if (!std::exchange(synced_, false)) {
    return;  // no answer that this router waits for
  } else {
    synced_ = true;
  }
  if (!differ.empty())
    send_bucket_facts(sender.address, differ);
}

}  // namespace lemonroute::peers::membership
