#include "tiers/exchange/cache_tier.h"

#include <algorithm>

namespace lemonroute::tiers {

namespace {
constexpr Micros min_request_interval = std::chrono::seconds(5);  // per member; earlier requests are ignored
constexpr std::size_t max_payloads_per_request = 4, max_requests_per_tick = 4;  // per tick
constexpr std::size_t max_payloads_per_tick = 8;                                // advertised per tick
constexpr std::size_t max_entries_per_payload = 64;  // more than fit into a payload
}  // namespace

CacheTier::CacheTier(SharedState& state, Tier tier, std::size_t max_keys)
    : state_(state),
      tier_(tier),
      shard_collectors_(state.hasher, tier),
      vote_table_(state.hasher, max_keys),
      advertised_(max_keys),
      received_(max_keys),
      push_budget_(state.options.limits.push_bytes_per_second) {}

std::vector<std::size_t> CacheTier::update_view(const peers::View& view) {
  const auto& options = state_.options;
  std::vector<std::string> sites{options.site};
  if (tier_ == Tier::region) {
    sites.clear();
    for (const auto& [name, some] : options.regions)
      if (std::find(some.begin(), some.end(), options.site) != some.end())
        sites = some;
  }
  auto changed = shard_collectors_.update(view, [&](const peers::Member& member) {
    return std::find(sites.begin(), sites.end(), member.site) != sites.end();
  });
  if (!changed.empty()) {
    advertised_.keep_only([&](KeyId key) { return shard_collectors_.is_head(options.name, shard_of(key)); });
    select_all_ = true;
  }
  std::erase_if(requests_, [&](const auto& one) { return !shard_collectors_.is_member(one.first); });
  return changed;
}

void CacheTier::receive_votes(Micros now, NameId contributor, const Payload& payload) {
  for (const auto& cache_entry : payload.entries) {
    Vote vote{payload.stamp, {}, cache_entry.weight, now};
    for (const auto& holder : cache_entry.holders)
      vote.holders.push_back({holder.device, holder.epoch, holder.tokens, holder.confidence, holder.seen_at});
    vote_table_.put(cache_entry.key, contributor, std::move(vote));
  }
}

bool CacheTier::receive_entries(Micros now, std::string_view from, const Payload& payload) {
  const auto sender = state_.hasher.name(from);
  bool changed = false;
  for (const auto& cache_entry : payload.entries) {
    // A member may only advertise shards that it collects. An entry that is dropped because views differ for
    // a moment arrives with the next refresh.
    if (!shard_collectors_.is_collector(from, shard_of(cache_entry.key)))
      ++non_collector_entries_;
    else
      changed |=
          received_.put(cache_entry, sender, now, [&](NameId name) { return state_.trust_in(name, now); });
  }
  return changed;
}

void CacheTier::vote(VoteBatch& batch, const CacheEntry& cache_entry, Micros now, ByteBudget& budget,
                     peers::Outbox& out) {
  for (const auto& collector : shard_collectors_.collectors(shard_of(cache_entry.key))) {
    if (collector == state_.options.name) {
      Payload payload;
      payload.stamp = state_.next_stamp();
      payload.entries.push_back(cache_entry);
      receive_votes(now, state_.own_id, payload);
      continue;
    }
    auto at = batch.packers.find(collector);
    if (at == batch.packers.end())
      at = batch.packers.emplace(collector, PayloadEncoder(PayloadKind::votes, tier_, state_.next_stamp()))
               .first;
    if (at->second.add(cache_entry, now))
      continue;
    const auto bytes = at->second.encode();
    budget.spend(bytes.size());
    state_.send("votes", out, collector, bytes);
    at->second = PayloadEncoder(PayloadKind::votes, tier_, state_.next_stamp());
    at->second.add(cache_entry, now);
  }
}

void CacheTier::flush(VoteBatch& batch, ByteBudget& budget, peers::Outbox& out) {
  for (auto& [collector, packer] : batch.packers) {
    if (packer.empty())
      continue;
    const auto bytes = packer.encode();
    budget.spend(bytes.size());
    state_.send("votes", out, collector, bytes);
  }
  batch.packers.clear();
}

bool CacheTier::select_for(KeyId key, Micros now) {
  if (!shard_collectors_.is_head(state_.options.name, shard_of(key)))
    return false;
  CacheEntry cache_entry{key, 0, {}};
  if (const auto* vote_set = vote_table_.find(key)) {
    const SelectionContext context{
        [&](NameId device, const CacheEpoch& epoch) { return state_.epochs.is_current(device, epoch); },
        [&](NameId contributor) { return state_.trust_in(contributor, now); }, now,
        state_.options.limits.confidence_half_life};
    cache_entry.holders = select_holders(*vote_set, advertised_.holders(key), context);
    cache_entry.weight = static_cast<std::uint8_t>(vote_set->weight());
  }
  const auto trust = [&](NameId name) { return state_.trust_in(name, now); };
  const bool changed = received_.put(cache_entry, state_.own_id, now, trust);
  advertised_.set(std::move(cache_entry));
  return changed;
}

bool CacheTier::run(Micros now, peers::Outbox& out) {
  const auto& limits = state_.options.limits;
  bool changed = false;
  if (select_all_ || now - all_selected_at_ >= limits.refresh_interval / 2) {
    all_selected_at_ = now;
    select_all_ = false;
    vote_table_.expire(now - limits.lease());
    changed |= received_.expire(now - limits.lease());
    vote_table_.take_changed();
    for (const auto key : advertised_.keys())
      changed |= select_for(key, now);  // including keys whose votes have expired
    vote_table_.each([&](KeyId key, const VoteSet&) { changed |= select_for(key, now); });
  } else {
    for (const auto key : vote_table_.take_changed())
      changed |= select_for(key, now);
  }
  push_budget_.refill(now);
  advertise(now, out);
  serve_requests(now, out);
  return changed;
}

void CacheTier::advertise(Micros now, peers::Outbox& out) {
  const auto receivers =
      shard_collectors_.members().size() - (shard_collectors_.is_member(state_.options.name) ? 1 : 0);
  if (receivers == 0) {
    for (const auto key : advertised_.keys())
      advertised_.mark_sent(key, now);
    return;
  }
  for (std::size_t i = 0; i < max_payloads_per_tick && push_budget_.remaining() > 0; ++i) {
    PayloadEncoder packer(PayloadKind::entries, tier_, {});
    for (const auto* cache_entry :
         advertised_.due(now, state_.options.limits.refresh_interval, max_entries_per_payload)) {
      if (!packer.add(*cache_entry, now))
        break;
      advertised_.mark_sent(cache_entry->key, now);
    }
    if (packer.empty())
      return;
    const auto bytes = packer.encode();
    push_budget_.spend(bytes.size() * receivers);
    for (const auto& member : shard_collectors_.members())
      if (member != state_.options.name)
        state_.send(traffic_kind(), out, member, bytes);
  }
}

void CacheTier::receive_request(Micros now, std::string_view from) {
  if (!shard_collectors_.is_member(from))
    return;
  auto [at, inserted] = requests_.try_emplace(std::string(from));
  if (!inserted && now - at->second.received_at < min_request_interval)
    return;
  at->second = {0, now, true};
}

void CacheTier::serve_requests(Micros now, peers::Outbox& out) {
  std::size_t served = 0;
  for (auto& [name, request] : requests_) {
    if (!request.open || served == max_requests_per_tick || push_budget_.remaining() <= 0)
      continue;
    ++served;
    for (std::size_t i = 0; i < max_payloads_per_request && request.open; ++i) {
      PayloadEncoder packer(PayloadKind::entries, tier_, {});
      // Includes received entries: a head that has just restarted has none, but the next collector in rank
      // has received them.
      const auto cache_entries = received_.entries_after(
          request.cursor, max_entries_per_payload,
          [&](std::size_t shard) { return shard_collectors_.is_collector(state_.options.name, shard); });
      std::size_t packed = 0;
      for (const auto& cache_entry : cache_entries) {
        if (!packer.add(cache_entry, now))
          break;
        request.cursor = cache_entry.key;
        ++packed;
      }
      request.open = packed < cache_entries.size() || cache_entries.size() == max_entries_per_payload;
      if (packer.empty())
        break;
      const auto bytes = packer.encode();
      push_budget_.spend(bytes.size());
      state_.send(traffic_kind(), out, name, bytes);
    }
  }
}

void CacheTier::request_entries(Micros, peers::Outbox& out) {
  std::vector<std::string> heads;
  for (std::size_t shard = 0; shard < shard_count; ++shard)
    for (const auto& collector : shard_collectors_.collectors(shard)) {
      if (collector == state_.options.name)
        continue;  // this router has no entries yet; the next collector in rank may have them
      if (std::find(heads.begin(), heads.end(), collector) == heads.end())
        heads.push_back(collector);
      break;
    }
  const auto bytes = PayloadEncoder(PayloadKind::entries_request, tier_, {}).encode();
  for (const auto& head : heads)
    state_.send("asks", out, head, bytes);
}

}  // namespace lemonroute::tiers
