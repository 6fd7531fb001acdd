#include "peers/membership/table.h"

#include <algorithm>

#include "peers/membership/hash.h"

namespace lemonroute::peers::membership {
namespace {

// Leaves the standing out, so that a member that only one of two routers suspects makes no difference.
std::uint64_t hash_of(const Fact& fact) {
  return membership::hash_of(fact.address, membership::hash_of(fact.name, fact.start) + fact.incarnation);
}

}  // namespace

Entry* Table::find(std::string_view name) {
  const auto at = entries_.find(name);
  return at == entries_.end() ? nullptr : &at->second;
}

std::size_t Table::bucket_of(std::string_view name) {
  return membership::hash_of(name) % limits::digest_buckets;
}

void Table::update_totals(const Entry& entry, int sign) {
  if (entry.fact.is_live()) {
    live_ += static_cast<std::size_t>(sign);
    hashes_[bucket_of(entry.fact.name)] ^= hash_of(entry.fact);
  } else if (entry.fact.standing == Standing::gone) {
    gone_ += static_cast<std::size_t>(sign);
  }
}

Entry* Table::add(const Fact& fact, Micros now, std::string* evicted) {
  if (entries_.size() >= max_members_) {
    const Entry* oldest = nullptr;
    for (const auto& [name, entry] : entries_)
      if (!entry.fact.is_live() && (!oldest || entry.standing_since < oldest->standing_since))
        oldest = &entry;
    if (!oldest)
      return nullptr;
    *evicted = oldest->fact.name;
    return nullptr;  // the caller forgets the evicted member and tries again
  }
  Entry& entry = entries_[fact.name];
  entry.fact = fact;
  entry.standing_since = now;
  in_bucket_[bucket_of(fact.name)].push_back(&entry);
  update_totals(entry, 1);
  ++version_;
  return &entry;
}

void Table::update(Entry& entry, const Fact& fact, Micros now) {
  const bool other_process = process_id(entry.fact) != process_id(fact);
  if (other_process || entry.fact.standing != fact.standing)
    entry.standing_since = now;
  if (fact.standing != Standing::suspected)
    clear_suspicion(entry);
  if (other_process) {
    entry.direct_probe_failures = 0;
    entry.unreachable = false;
    entry.last_heard.reset();
  }
  update_totals(entry, -1);
  entry.fact = fact;
  update_totals(entry, 1);
  ++version_;
}

void Table::set_standing(Entry& entry, Standing standing, std::string by, Micros now) {
  Fact fact = entry.fact;
  fact.standing = standing;
  fact.reported_by = std::move(by);
  update(entry, fact, now);
}

void Table::set_unreachable(Entry& entry, bool unreachable) {
  if (entry.unreachable != unreachable)
    ++version_;
  entry.unreachable = unreachable;
}

void Table::remove(std::string_view name) {
  const auto at = entries_.find(name);
  if (at == entries_.end())
    return;
  clear_suspicion(at->second);
  update_totals(at->second, -1);
  std::erase(in_bucket_[bucket_of(name)], &at->second);
  entries_.erase(at);
  ++version_;
}

std::uint64_t Table::digest() const {
  const auto digest = XXH3_64bits(hashes_.data(), sizeof(hashes_));
  return digest ? digest : 1;  // 0 stands for no digest on the wire
}

std::array<std::uint32_t, limits::digest_buckets> Table::buckets() const {
  std::array<std::uint32_t, limits::digest_buckets> truncated{};
  for (std::size_t at = 0; at < hashes_.size(); ++at)
    truncated[at] = static_cast<std::uint32_t>(hashes_[at]);
  return truncated;
}

void Table::suspect(Entry& entry, Suspicion suspicion) {
  clear_suspicion(entry);
  entry.suspicion = suspicion;
  deadlines_.emplace(suspicion.deadline(), entry.fact.name);
}

void Table::update_deadline(Entry& entry, Micros previous_deadline) {
  deadlines_.erase({previous_deadline, entry.fact.name});
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

Entry* Table::awaiting_final_ping(Micros before) {
  for (const auto& [at, name] : deadlines_) {
    if (at > before)
      return nullptr;
    Entry* entry = find(name);
    if (!entry->suspicion->final_ping_sent)
      return entry;
  }
  return nullptr;
}

void Table::postpone_suspicions(Micros delay) {
  std::set<std::pair<Micros, std::string>> shifted;
  for (const auto& [at, name] : deadlines_) {
    auto& suspicion = *find(name)->suspicion;
    suspicion.postpone(delay);
    shifted.emplace(suspicion.deadline(), name);
  }
  deadlines_ = std::move(shifted);
}

}  // namespace lemonroute::peers::membership
