// Handling of received packets.
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

bool Membership::receive(Micros now, const Packet& packet) {
  if (left_)
    return false;
  now_ = std::max(now_, now);
  const Fact& sender = packet.sender;
  if (sender.name == self_.fact().name) {
    if (process_id(sender) == process_id(self_.fact()))
      return false;  // this router pinged itself through a seed address
    self_.record_packet(sender, now_);
  }
  if (std::holds_alternative<wire::Payload>(packet.body)) {
    Entry* entry = table_.find(sender.name);
    if (!entry || sender.name == self_.fact().name)
      return false;
    if (sender.start == entry->fact.start)
      record_heard(*entry);
    return true;
  }
  merge_sender(sender);
  const Entry* entry = table_.find(sender.name);
  if (!entry)
    return false;  // the table is full
  // A member that others cannot reach holds all of them gone, so its claims against them are ignored.
  const bool alive_claims_only = !entry->fact.is_live() && process_id(entry->fact) == process_id(sender);
  if (alive_claims_only)
    ++counters_.from_the_gone;
  for (const Fact& fact : packet.facts)
    merge(fact, sender, alive_claims_only);
  std::visit([&](const auto& body) { handle(sender, body); }, packet.body);
  return true;
}

void Membership::merge_sender(const Fact& sender) {
  Fact claim = sender;
  claim.standing = Standing::alive;
  claim.reported_by = sender.name;
  merge(claim, sender, false);
  Entry* entry = table_.find(sender.name);
  if (!entry || sender.name == self_.fact().name || process_id(entry->fact) != process_id(sender))
    return;
  record_heard(*entry);
  if (!entry->fact.is_live())
    // The ping tells the sender that it is held gone; it returns with a greater incarnation.
    queue_priority_probe(sender.name);
}

void Membership::record_heard(Entry& entry) {
  entry.last_heard = now_;
}

void Membership::handle(const Fact& sender, const wire::Ping& ping) {
  if (!ping.target.empty() && ping.target != self_.fact().name)
    return;  // the ping is for another router that had this address before
  const Entry* known = table_.find(sender.name);
  send(sender.address, wire::Ack{ping.sequence, self_.fact().name, table_.digest(), self_.fact().start},
       known);
}

void Membership::handle(const Fact& sender, const wire::PingRequest& ask) {
  if (ask.target == self_.fact().name)
    return;
  IndirectPing indirect_ping{
      ++sequence_ ? sequence_ : ++sequence_, ask.sequence, sender.name, sender.address, ask.target,
      tick_ + limits::direct_probe_ticks};
  const auto own_sequence = indirect_ping.own_sequence;
  if (!indirect_pings_.add(std::move(indirect_ping)))
    return;
  send(ask.address, wire::Ping{own_sequence, ask.target, table_.digest()}, table_.find(ask.target));
}

void Membership::handle(const Fact& sender, const wire::Ack& ack) {
  if (sender.name == ack.target) {
    Entry* entry = table_.find(ack.target);
    const bool same_process = entry && process_id(entry->fact) == process_id(sender);
    if (same_process && entry->direct_probe_failures) {
      entry->direct_probe_failures = 0;
      table_.set_unreachable(*entry, false);
    }
    if (auto indirect_ping = indirect_pings_.take_acknowledged(ack.sequence, ack.target);
        indirect_ping && same_process)
      send(indirect_ping->requester_address,
           wire::Ack{indirect_ping->request_sequence, indirect_ping->target, 0, ack.start});
    if (probe_ && probe_->sequence == ack.sequence && probe_->name == ack.target && same_process)
      probe_->direct_ack = true;
    if (ack.digest && ack.digest != table_.digest() && !sync_sent_)
      send_sync(sender.address, false);
  } else if (probe_ && probe_->sequence == ack.sequence && probe_->name == ack.target) {
    // An ack from a newer process at the same address does not show that the probed one is alive.
    if (probe_->start == ack.start)
      probe_->indirect_ack = true;
    ++probe_->helpers_answered;
  }
}

void Membership::handle(const Fact&, const wire::Nack& nack) {
  if (probe_ && probe_->sequence == nack.sequence && probe_->name == nack.target)
    ++probe_->helpers_answered;
}

void Membership::handle(const Fact& sender, const wire::Sync& sync) {
  if (!sync.is_reply && syncs_answered_ >= limits::max_syncs_answered) {
    ++counters_.syncs_refused;
    return;
  }
  const auto own_buckets = table_.buckets();
  std::vector<std::size_t> differing;
  for (std::size_t at = 0; at < own_buckets.size(); ++at)
    if (own_buckets[at] != sync.buckets[at])
      differing.push_back(at);
  if (!sync.is_reply) {
    ++syncs_answered_;
    send_sync(sender.address, true);
  } else if (!std::exchange(sync_sent_, false)) {
    return;  // this router awaits no answer
  } else {
    sync_sent_ = true;
  }
  if (!differing.empty())
    send_bucket_facts(sender.address, differing);
}

}  // namespace lemonroute::peers::membership
