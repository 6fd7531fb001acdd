#include "peers/membership/table.h"

#include <algorithm>

#include "peers/membership/hash.h"

namespace lemonroute::peers::membership {
namespace {

// Without the standing: who is only suspected, here or there, is no difference between two tables.
std::uint64_t hash_of(const Fact& fact) {
  return membership::hash_of(fact.address, membership::hash_of(fact.name, fact.start) + fact.incarnation);
}

}  // namespace

Entry* Table::find(std::string_view name) {
  const auto at = entries_.find(name);
  return at == entries_.end() ? nullptr : &at->second;
}

std::size_t Table::bucket_of(std::string_view name) {
  return membership::hash_of(name) % limits::buckets;
}

void Table::count(const Entry& entry, int sign) {
  if (entry.fact.there()) {
    there_ += static_cast<std::size_t>(sign);
    hashes_[bucket_of(entry.fact.name)] ^= hash_of(entry.fact);
  } else if (entry.fact.standing == Standing::gone) {
    gone_ += static_cast<std::size_t>(sign);
  }
}

Entry* Table::add(const Fact& fact, Micros now, std::string* evicted) {
  if (entries_.size() >= most_) {
    const Entry* oldest = nullptr;
    for (const auto& [name, entry] : entries_)
      if (!entry.fact.there() && (!oldest || entry.since < oldest->since))
        oldest = &entry;
    if (!oldest)
      return nullptr;
    *evicted = oldest->fact.name;
    return nullptr;  // the caller lets go of it first, then asks again
  }
  Entry& entry = entries_[fact.name];
  entry.fact = fact;
  entry.since = now;
  in_bucket_[bucket_of(fact.name)].push_back(&entry);
  count(entry, 1);
  ++version_;
  return &entry;
}

void Table::set(Entry& entry, const Fact& fact, Micros now) {
  const bool other = process(entry.fact) != process(fact);
  if (other || entry.fact.standing != fact.standing)
    entry.since = now;
  if (fact.standing != Standing::suspected)
    clear_suspicion(entry);
  if (other) {
    entry.direct_failed = 0;
    entry.unreachable = false;
    entry.heard.reset();
  }
  count(entry, -1);
  entry.fact = fact;
  count(entry, 1);
  ++version_;
}

void Table::mark(Entry& entry, Standing standing, std::string by, Micros now) {
  Fact fact = entry.fact;
  fact.standing = standing;
  fact.by = std::move(by);
  set(entry, fact, now);
}

void Table::set_unreachable(Entry& entry, bool unreachable) {
  if (entry.unreachable != unreachable)
    ++version_;
  entry.unreachable = unreachable;
}

void Table::forget(std::string_view name) {
  const auto at = entries_.find(name);
  if (at == entries_.end())
    return;
  clear_suspicion(at->second);
  count(at->second, -1);
  std::erase(in_bucket_[bucket_of(name)], &at->second);
  entries_.erase(at);
  ++version_;
}

std::uint64_t Table::digest() const {
  const auto digest = XXH3_64bits(hashes_.data(), sizeof(hashes_));
  return digest ? digest : 1;  // 0 says that none is told
}

std::array<std::uint32_t, limits::buckets> Table::buckets() const {
  std::array<std::uint32_t, limits::buckets> short_ones{};
  for (std::size_t at = 0; at < hashes_.size(); ++at)
    short_ones[at] = static_cast<std::uint32_t>(hashes_[at]);
  return short_ones;
}

void Table::suspect(Entry& entry, Suspicion suspicion) {
  clear_suspicion(entry);
  entry.suspicion = suspicion;
  deadlines_.emplace(suspicion.deadline(), entry.fact.name);
}

void Table::rearm(Entry& entry, Micros before) {
  deadlines_.erase({before, entry.fact.name});
  deadlines_.emplace(entry.suspicion->deadline(), entry.fact.name);
}

void Table::clear_suspicion(Entry& entry) {
  if (!entry.suspicion)
    return;
  deadlines_.erase({entry.suspicion->deadline(), entry.fact.name});
  entry.suspicion.reset();
}

Entry* Table::expired(Micros now) {
  if (deadlines_.empty() || deadlines_.begin()->first > now)
    return nullptr;
  return find(deadlines_.begin()->second);
}

Entry* Table::uncalled(Micros before) {
  for (const auto& [at, name] : deadlines_) {
    if (at > before)
      return nullptr;
    Entry* entry = find(name);
    if (!entry->suspicion->called)
      return entry;
  }
  return nullptr;
}

void Table::shift_suspicions(Micros late) {
  std::set<std::pair<Micros, std::string>> shifted;
  for (const auto& [at, name] : deadlines_) {
    auto& suspicion = *find(name)->suspicion;
    suspicion.shift(late);
    shifted.emplace(suspicion.deadline(), name);
  }
  deadlines_ = std::move(shifted);
}

}  // namespace lemonroute::peers::membership
