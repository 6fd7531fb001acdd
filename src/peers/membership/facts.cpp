// What is made of what is said of members.
#include <algorithm>

#include "peers/membership/hash.h"
#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

void Membership::take(const Fact& said, const Fact& sender, bool only_good) {
  Entry* entry = table_.find(said.name);
  if (said.name == own_.own().name) {
    if (process(said) < process(own_.own()))
      return older(*entry, said, said.name == sender.name);
    return about_me(said);  // from the gone too: two who hold each other gone must get out of that
  }
  if (only_good && said.standing != Standing::alive)
    return;
  apply(judge(entry, said, unix_now()), entry, said, sender);
}

void Membership::apply(Verdict verdict, Entry* entry, const Fact& said, const Fact& sender) {
  switch (verdict) {
    case Verdict::nothing:
      return;
    case Verdict::implausible:
      ++counters_.implausible;
      return;
    case Verdict::older:
      return older(*entry, said, said.name == sender.name);
    case Verdict::hearsay:
      return hearsay(*entry, said, sender);
    case Verdict::confirm:
      return confirm(*entry, said.by);
    case Verdict::suspect:
      return suspect(*entry, said, sender);
    case Verdict::unknown:
      if (Entry* added = add(said); added && said.standing == Standing::suspected)
        suspect(*added, said, sender);
      return;
    case Verdict::newer: {
      const bool doubted = said.standing == Standing::suspected || said.standing == Standing::gone;
      Fact fact = said;
      if (doubted)
        fact.standing = Standing::alive;
      if (!entry->fact.there())
        ++counters_.returned;
      entry->older_since.reset();
      entry->older_told = false;
      table_.set(*entry, fact, now_);
      news_.add(*entry);
      if (doubted)
        suspect(*entry, said, sender);
      return;
    }
    case Verdict::refuted:
      if (!entry->fact.there())
        ++counters_.returned;
      table_.set(*entry, said, now_);
      news_.add(*entry);
      return;
    case Verdict::left:
      table_.set(*entry, said, now_);
      news_.add(*entry);
      return;
  }
}

void Membership::about_me(const Fact& said) {
  switch (own_.told(said, now_, unix_now())) {
    case OwnName::Then::nothing:
      return;
    case OwnName::Then::refuted:
      ++counters_.refuted;
      health_.worse();
      break;
    case OwnName::Then::superseded:
      ++counters_.superseded;
      if (said.address != own_.own().address)
        notice("a newer process of the name " + said.name + " is at " + said.address + ", this one is at " +
               own_.own().address + ": the newer start holds the name");
      break;
    case OwnName::Then::reclaimed:
      ++counters_.reclaimed;
      break;
    case OwnName::Then::updated:
      break;
  }
  self_changed();
}

void Membership::self_changed() {
  Entry* self = table_.find(own_.own().name);
  Fact fact = own_.superseded() ? *own_.later() : own_.own();
  fact.standing = Standing::alive;
  table_.set(*self, fact, now_);
  if (!own_.superseded())
    news_.add(*self);
}

Entry* Membership::add(const Fact& fact) {
  std::string evicted;
  Entry* entry = table_.add(fact, now_, &evicted);
  if (!entry && !evicted.empty()) {
    Entry* old = table_.find(evicted);
    order_.remove(*old);
    news_.drop(*old);
    table_.forget(evicted);
    entry = table_.add(fact, now_, &evicted);
  }
  if (!entry) {
    ++counters_.members_refused;
    return nullptr;
  }
  if (fact.standing == Standing::suspected)
    table_.mark(*entry, Standing::alive, fact.by, now_);
  order_.add(*entry, random_);
  news_.add(*entry);
  return entry;
}

void Membership::suspect(Entry& entry, const Fact& said, const Fact& sender, bool by_hearsay) {
  ++counters_.suspected;
  Fact fact = said;
  fact.standing = Standing::suspected;
  if (fact.by.empty())
    fact.by = sender.name;
  table_.set(entry, fact, now_);
  entry.confirmed_by.clear();
  const auto members = table_.there();
  table_.suspect(entry, by_hearsay ? Suspicion::by_hearsay(now_, members, options_.period, fact.by)
                                   : Suspicion(now_, members, options_.period, fact.by));
  news_.add(entry);
}

void Membership::confirm(Entry& entry, std::string_view by) {
  if (!entry.suspicion)
    return;
  const Micros before = entry.suspicion->deadline();
  if (!entry.suspicion->confirm(by))
    return;
  table_.rearm(entry, before);
  entry.confirmed_by = by;
  news_.add(entry);
}

void Membership::hearsay(Entry& entry, const Fact& said, const Fact& sender) {
  const auto by = hash_of(sender.name);
  const bool second = entry.hearsay_by && entry.hearsay_by != by &&
                      now_ - entry.hearsay_at >= options_.period &&
                      now_ - entry.hearsay_at < options_.period * limits::twice;
  if (second) {
    entry.hearsay_by = 0;
    return suspect(entry, said, sender, true);
  }
  if (!entry.hearsay_by || now_ - entry.hearsay_at >= options_.period * limits::twice) {
    entry.hearsay_by = by;
    entry.hearsay_at = now_;
  }
  again(entry.fact.name);
}

// An upgrade runs for a while beside the process that it replaces. What goes on for long is a mistake of two
// routers.
void Membership::older(Entry& entry, const Fact& said, bool first_hand) {
  if (!first_hand || !entry.fact.there() || said.address == entry.fact.address)
    return;
  if (!entry.older_since)
    entry.older_since = now_;
  if (entry.older_told || now_ - *entry.older_since < options_.period * limits::twice)
    return;
  entry.older_told = true;
  ++counters_.names_twice;
  notice("two routers are named " + said.name + ": " + entry.fact.address +
         ", whose newer start holds the name, and " + said.address);
}

// Guards against giving up one who never heard that it is suspected: the news of that may all have gone into
// a cut that has healed since, and who is only suspected makes no difference between digests.
void Membership::last_calls() {
  while (last_calls_ < limits::last_calls) {
    Entry* entry = table_.uncalled(now_ + options_.period * limits::last_call);
    if (!entry)
      return;
    ++last_calls_;
    entry->suspicion->called = true;
    send(entry->fact.address, wire::Ping{0, entry->fact.name, table_.digest()}, entry);
  }
}

void Membership::give_up(Micros now) {
  while (Entry* entry = table_.expired(now)) {
    ++counters_.gone;
    table_.mark(*entry, Standing::gone, entry->fact.by, now);
    entry->hearsay_by = 0;
    news_.add(*entry);
  }
  present_.note(table_, now);
}

}  // namespace lemonroute::peers::membership
