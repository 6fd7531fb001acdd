// Merging of received claims into the member table.
#include <algorithm>

#include "peers/membership/hash.h"
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

void Membership::merge(const Fact& claim, const Fact& sender, bool alive_claims_only) {
  Entry* entry = table_.find(claim.name);
  if (claim.name == self_.fact().name) {
    if (process_id(claim) < process_id(self_.fact()))
      return handle_older_process(*entry, claim, claim.name == sender.name);
    // Gone senders are heard too: two routers that hold each other gone must recover.
    return merge_claim_about_self(claim);
  }
  if (alive_claims_only && claim.standing != Standing::alive)
    return;
  apply_verdict(judge_claim(entry, claim, unix_now()), entry, claim, sender);
}

void Membership::apply_verdict(Verdict verdict, Entry* entry, const Fact& claim, const Fact& sender) {
  switch (verdict) {
    case Verdict::ignore:
      return;
    case Verdict::implausible:
      ++counters_.implausible;
      return;
    case Verdict::older_process:
      return handle_older_process(*entry, claim, claim.name == sender.name);
    case Verdict::gone_claim:
      return handle_gone_claim(*entry, claim, sender);
    case Verdict::confirm:
      return confirm_suspicion(*entry, claim.reported_by);
    case Verdict::suspect:
      return begin_suspicion(*entry, claim, sender);
    case Verdict::add_member:
      if (Entry* added = add_member(claim); added && claim.standing == Standing::suspected)
        begin_suspicion(*added, claim, sender);
      return;
    case Verdict::newer_process: {
      const bool accused = claim.standing == Standing::suspected || claim.standing == Standing::gone;
      Fact fact = claim;
      if (accused)
        fact.standing = Standing::alive;
      if (!entry->fact.is_live())
        ++counters_.returned;
      entry->older_process_since.reset();
      entry->older_process_reported = false;
      table_.update(*entry, fact, now_);
      broadcasts_.add(*entry);
      if (accused)
        begin_suspicion(*entry, claim, sender);
      return;
    }
    case Verdict::refuted:
      if (!entry->fact.is_live())
        ++counters_.returned;
      table_.update(*entry, claim, now_);
      broadcasts_.add(*entry);
      return;
    case Verdict::left:
      table_.update(*entry, claim, now_);
      broadcasts_.add(*entry);
      return;
  }
}

void Membership::merge_claim_about_self(const Fact& claim) {
  switch (self_.apply_claim(claim, now_, unix_now())) {
    case OwnIdentity::Change::nothing:
      return;
    case OwnIdentity::Change::refuted:
      ++counters_.refuted;
      health_.degrade();
      break;
    case OwnIdentity::Change::superseded:
      ++counters_.superseded;
      if (claim.address != self_.fact().address)
        add_notice("a newer process holds this router's name: name=" + claim.name +
                   " address=" + claim.address + " own_address=" + self_.fact().address);
      break;
    case OwnIdentity::Change::reclaimed:
      ++counters_.reclaimed;
      break;
    case OwnIdentity::Change::updated:
      break;
  }
  update_self();
}

void Membership::update_self() {
  Entry* self = table_.find(self_.fact().name);
  Fact fact = self_.superseded() ? *self_.successor() : self_.fact();
  fact.standing = Standing::alive;
  table_.update(*self, fact, now_);
  if (!self_.superseded())
    broadcasts_.add(*self);
}

Entry* Membership::add_member(const Fact& fact) {
  std::string evicted;
  Entry* entry = table_.add(fact, now_, &evicted);
  if (!entry && !evicted.empty()) {
    Entry* evicted_entry = table_.find(evicted);
    probe_order_.remove(*evicted_entry);
    broadcasts_.drop(*evicted_entry);
    table_.remove(evicted);
    entry = table_.add(fact, now_, &evicted);
  }
  if (!entry) {
    ++counters_.members_refused;
    return nullptr;
  }
  if (fact.standing == Standing::suspected)
    table_.set_standing(*entry, Standing::alive, fact.reported_by, now_);
  probe_order_.add(*entry, random_);
  broadcasts_.add(*entry);
  return entry;
}

void Membership::begin_suspicion(Entry& entry, const Fact& claim, const Fact& sender, bool from_gone_claims) {
  ++counters_.suspected;
  Fact fact = claim;
  fact.standing = Standing::suspected;
  if (fact.reported_by.empty())
    fact.reported_by = sender.name;
  table_.update(entry, fact, now_);
  entry.confirmed_by.clear();
  const auto members = table_.live_count();
  table_.suspect(entry, from_gone_claims
                            ? Suspicion::from_gone_claims(now_, members, options_.period, fact.reported_by)
                            : Suspicion(now_, members, options_.period, fact.reported_by));
  broadcasts_.add(entry);
}

void Membership::confirm_suspicion(Entry& entry, std::string_view by) {
  if (!entry.suspicion)
    return;
  const Micros previous_deadline = entry.suspicion->deadline();
  if (!entry.suspicion->confirm(by))
    return;
  table_.update_deadline(entry, previous_deadline);
  entry.confirmed_by = by;
  broadcasts_.add(entry);
}

void Membership::handle_gone_claim(Entry& entry, const Fact& claim, const Fact& sender) {
  const auto by = hash_of(sender.name);
  const bool second_claim = entry.gone_claim_by && entry.gone_claim_by != by &&
                            now_ - entry.gone_claim_at >= options_.period &&
                            now_ - entry.gone_claim_at < options_.period * limits::duplicate_name_periods;
  if (second_claim) {
    entry.gone_claim_by = 0;
    return begin_suspicion(entry, claim, sender, true);
  }
  if (!entry.gone_claim_by ||
      now_ - entry.gone_claim_at >= options_.period * limits::duplicate_name_periods) {
    entry.gone_claim_by = by;
    entry.gone_claim_at = now_;
  }
  queue_priority_probe(entry.fact.name);
}

// During an upgrade the older process runs for a while beside the newer one. If it keeps running, two routers
// are configured with the same name.
void Membership::handle_older_process(Entry& entry, const Fact& claim, bool first_hand) {
  if (!first_hand || !entry.fact.is_live() || claim.address == entry.fact.address)
    return;
  if (!entry.older_process_since)
    entry.older_process_since = now_;
  if (entry.older_process_reported ||
      now_ - *entry.older_process_since < options_.period * limits::duplicate_name_periods)
    return;
  entry.older_process_reported = true;
  ++counters_.names_twice;
  add_notice("two routers have the same name, the later start holds it: name=" + claim.name +
             " holder=" + entry.fact.address + " other=" + claim.address);
}

// Tells suspected members of the suspicion once more before the deadline. All transmissions of it may have
// been lost in a partition that has healed since, and anti-entropy does not repeat them, since digests leave
// the standing of live members out.
void Membership::send_final_pings() {
  while (final_pings_ < limits::max_final_pings) {
    Entry* entry = table_.awaiting_final_ping(now_ + options_.period * limits::final_ping_lead_periods);
    if (!entry)
      return;
    ++final_pings_;
    entry->suspicion->final_ping_sent = true;
    send(entry->fact.address, wire::Ping{0, entry->fact.name, table_.digest()}, entry);
  }
}

void Membership::declare_gone(Micros now) {
  while (Entry* entry = table_.expired(now)) {
    ++counters_.gone;
    table_.set_standing(*entry, Standing::gone, entry->fact.reported_by, now);
    entry->gone_claim_by = 0;
    broadcasts_.add(*entry);
  }
  view_builder_.update_minority(table_, now);
}

}  // namespace lemonroute::peers::membership
