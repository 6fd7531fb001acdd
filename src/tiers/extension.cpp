#include "tiers/extension.h"

#include <algorithm>
#include <set>

namespace lemonroute::tiers {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace {
constexpr std::size_t max_epochs_per_payload = 40;
constexpr std::size_t max_votes_per_tick = 256;     // keys sent to collectors in a tick
constexpr std::size_t approximate_vote_bytes = 75;  // of one key, sent to its three collectors
// Limits what this router forwards if a peer floods it with cache epochs.
constexpr std::size_t epoch_bytes_per_second = 32 * 1024;
constexpr double max_tokens = 1 << 24;
constexpr unsigned max_requests = 3;  // after the start, because datagrams may be lost
std::uint32_t to_token_count(double tokens) {
  return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, max_tokens));
}
}  // namespace

TiersExtension::TiersExtension(Options options, std::uint64_t seed)
    : state_(std::move(options)),
      device_tier_(state_.options.limits),
      site_(state_, Tier::site, state_.options.limits.site_keys),
      region_(state_, Tier::region, state_.options.limits.region_keys),
      gossip_(seed ^ state_.own_id),
      vote_budget_(state_.options.limits.vote_bytes_per_second),
      epoch_budget_(epoch_bytes_per_second),
      map_(std::make_shared<HintMap>(state_.hasher)) {}

void TiersExtension::on_prefix_cached(const Node& node, Key session, Key shared, double tokens,
                                      double shared_tokens, Micros now) {
  const auto device = state_.hasher.name(node.name);
  const auto* epoch = state_.epochs.find(device);
  if (!epoch)
    return;  // not listed
  if (session != 0)
    device_tier_.record_cached(state_.hasher.session(session), device, *epoch, to_token_count(tokens), now);
  if (shared != 0)
    device_tier_.record_cached(state_.hasher.shared_prefix(shared), device, *epoch,
                               to_token_count(std::min(tokens, shared_tokens)), now);
}

void TiersExtension::check_hints(KeyId key, NameId device, double tokens, Micros now,
                                 std::map<NameId, double>& contradicted_by, std::set<NameId>& confirmed_by) {
  for (const auto* entries : {&site_.received(), &region_.received()}) {
    const auto* entry = entries->find(key);
    if (!entry)
      continue;
    for (const auto& holder : entry->holders) {
      if (holder.device != device || HintMapBuilder::confidence(state_, key, *entry, holder, now) <= 0)
        continue;
      if (tokens < holder.tokens / 2.0) {
        contradicted_by[holder.contributor] = 0.5;
        contradicted_by.try_emplace(entry->sender, 0.9);
        state_.false_hints.add(key, device, now + state_.options.limits.confidence_half_life);
        hints_changed_ = true;
      } else {
        confirmed_by.insert(holder.contributor);
        confirmed_by.insert(entry->sender);
      }
    }
  }
}

void TiersExtension::on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) {
  const auto device = state_.hasher.name(node.name);
  const auto* epoch = state_.epochs.find(device);
  if (!epoch)
    return;
  std::map<NameId, double> contradicted_by;
  std::set<NameId> confirmed_by;
  for (const auto key :
       {session ? state_.hasher.session(session) : 0, shared ? state_.hasher.shared_prefix(shared) : 0}) {
    if (key == 0)
      continue;
    check_hints(key, device, tokens, now, contradicted_by, confirmed_by);
    const auto* own = device_tier_.find(key, device);
    // Only a sighting from before the reported loss can disprove it, and only one of a session: another
    // request may have prefilled a shared prefix there since.
    if (session != 0 && key == state_.hasher.session(session) && own && !(own->epoch == *epoch) &&
        tokens >= own->tokens / 2.0 && state_.epochs.recently_invalidated(device, now))
      state_.epochs.record_disproof(device, now);
    device_tier_.record_hit(key, device, to_token_count(tokens), now);
  }
  for (const auto& [name, factor] : contradicted_by)
    if (name != state_.own_id)
      state_.trust.record_contradicted(name, now, factor);
  for (const auto name : confirmed_by)
    if (name != state_.own_id && !contradicted_by.count(name))
      state_.trust.record_confirmed(name, now);
}

void TiersExtension::on_epoch_advanced(NameId device) {
  gossip_.add(device);
  site_.on_epoch_advanced();
  region_.on_epoch_advanced();
  hints_changed_ = true;
  due_ = Micros{};  // at once
}

void TiersExtension::on_cache_lost(const Node& node, Micros now) {
  const auto device = state_.hasher.name(node.name);
  if (devices_.count(device) && state_.epochs.record_loss(device, now))
    on_epoch_advanced(device);
}

void TiersExtension::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  state_.epochs.unlist_all();
  devices_.clear();
  for (const auto& node : nodes) {
    const auto device = state_.hasher.name(node.name);
    const bool was_known = state_.epochs.find(device) != nullptr;
    const auto start = static_cast<std::uint64_t>(std::max<std::int64_t>(0, node.listed_start.count()));
    devices_[device] = {node.name, node.zone};
    if (state_.epochs.update_listed(device, start, now) && was_known)
      on_epoch_advanced(device);
  }
  hints_changed_ = true;
}

void TiersExtension::on_view_change(Micros, const peers::View& view) {
  members_.clear();
  for (const auto& member : view.members)
    if (member.is_live())
      members_.push_back(member.name);
  const auto changed_shards = site_.update_view(view);
  const auto in_changed_shard = [&](KeyId key) {
    return std::find(changed_shards.begin(), changed_shards.end(), shard_of(key)) != changed_shards.end();
  };
  if (!changed_shards.empty())
    device_tier_.resend(in_changed_shard);
  promotion_.resend(region_.update_view(view));
}

void TiersExtension::merge_epochs(const Payload& payload, Micros now) {
  for (const auto& [device, epoch] : payload.device_epochs) {
    const auto* known_epoch = state_.epochs.find(device);
    const bool was_known = known_epoch != nullptr, same = was_known && *known_epoch == epoch;
    if (same)
      gossip_.record_duplicate(device);
    else if (state_.epochs.merge_report(device, epoch, now) && was_known)
      on_epoch_advanced(device);
  }
}

void TiersExtension::receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) {
  const char* why = "";
  const auto payload = decode_payload(bytes, now, why);
  if (!payload) {
    ++state_.dropped[why];
    return;
  }
  static constexpr const char* traffic_kinds[] = {"", "votes", "rows", "eras", "digests", "asks"};
  auto& traffic = state_.traffic[traffic_kinds[static_cast<int>(payload->kind)]];
  ++traffic.payloads_in;
  traffic.bytes_in += bytes.size();
  auto& tier = payload->tier == Tier::site ? site_ : region_;
  const bool is_member = tier.shard_collectors().is_member(from);
  if (!is_member && payload->kind != PayloadKind::epochs && payload->kind != PayloadKind::digest) {
    ++state_.dropped["stranger"];
    return;
  }
  merge_epochs(*payload, now);
  switch (payload->kind) {
    case PayloadKind::votes:
      tier.receive_votes(now, state_.hasher.name(from), *payload);
      break;
    case PayloadKind::entries:
      hints_changed_ |= tier.receive_entries(now, from, *payload);
      break;
    case PayloadKind::entries_request:
      tier.receive_request(now, from);
      break;
    case PayloadKind::digest:
      epoch_budget_.refill(now);
      if (payload->digest != state_.epochs.digest() && epoch_budget_.remaining() > 0)
        send_epochs(from, state_.epochs.slice(epoch_cursor_, max_epochs_per_payload), out);
      break;
    case PayloadKind::epochs:
      break;
  }
  if (due_ == Micros{})
    gossip_epochs(now, out);
}

void TiersExtension::send_epochs(std::string_view to,
                                 const std::vector<std::pair<NameId, CacheEpoch>>& epochs,
                                 peers::Outbox& out) {
  PayloadEncoder packer(PayloadKind::epochs, Tier::site, {});
  for (const auto& [device, epoch] : epochs)
    packer.add(device, epoch);
  if (packer.empty())
    return;
  const auto bytes = packer.encode();
  epoch_budget_.spend(bytes.size());
  state_.send("eras", out, to, bytes);
}

void TiersExtension::gossip_epochs(Micros now, peers::Outbox& out) {
  epoch_budget_.refill(now);
  if (epoch_budget_.remaining() <= 0)
    return;
  std::vector<std::pair<NameId, CacheEpoch>> epochs;
  for (const auto device : gossip_.take_round(max_epochs_per_payload))
    if (const auto* epoch = state_.epochs.find(device))
      epochs.emplace_back(device, *epoch);
  if (epochs.empty())
    return;
  for (const auto& to : gossip_.draw_members(members_, state_.options.name, EpochGossip::fan_out))
    send_epochs(to, epochs, out);
}

void TiersExtension::send_digest(Micros now, peers::Outbox& out) {
  if (now - digest_sent_at_ < seconds(1))
    return;
  digest_sent_at_ = now;
  for (const auto& to : gossip_.draw_members(members_, state_.options.name, 1))
    state_.send("digests", out, to,
                PayloadEncoder(PayloadKind::digest, Tier::site, {}).encode(state_.epochs.digest()));
}

void TiersExtension::send_votes(Micros now, peers::Outbox& out) {
  vote_budget_.refill(now);
  if (vote_budget_.remaining() <= 0)
    return;
  CacheTier::VoteBatch batch;
  const auto room = static_cast<std::size_t>(vote_budget_.remaining()) / approximate_vote_bytes + 1;
  for (const auto key : device_tier_.due(now, std::min(max_votes_per_tick, room))) {
    CacheEntry cache_entry{key, device_tier_.weight(key), {}};
    for (const auto& holder : device_tier_.holders(key))
      if (state_.epochs.is_current(holder.device, holder.epoch))
        cache_entry.holders.push_back(
            {holder.device, holder.epoch, holder.tokens, holder.confidence, holder.seen_at});
    site_.vote(batch, cache_entry, now, vote_budget_, out);
  }
  site_.flush(batch, vote_budget_, out);
  if (now - promoted_at_ < milliseconds(500))
    return;
  promoted_at_ = now;
  promotion_.run(now, state_.options, state_.own_id, site_, region_, vote_budget_, out);
}

void TiersExtension::request_entries(Micros now, peers::Outbox& out) {
  if (requests_sent_ >= max_requests || members_.size() < 2 ||
      (requests_sent_ > 0 && now - requested_at_ < seconds(1)))
    return;
  ++requests_sent_;
  requested_at_ = now;
  site_.request_entries(now, out);
  region_.request_entries(now, out);
}

void TiersExtension::run_due(Micros now, peers::Outbox& out) {
  if (now < due_)
    return;
  due_ = now + tick_interval;
  request_entries(now, out);
  gossip_epochs(now, out);
  send_digest(now, out);
  if (now - swept_at_ >= seconds(1)) {
    swept_at_ = now;
    device_tier_.expire(
        [&](NameId device, const CacheEpoch& epoch) {
          return state_.epochs.is_current(device, epoch) || state_.epochs.recently_invalidated(device, now);
        },
        now);
    state_.false_hints.expire(now);
  }
  send_votes(now, out);
  hints_changed_ |= site_.run(now, out);
  hints_changed_ |= region_.run(now, out);
  const bool decaying = map_->keys() > 0 && now - map_built_at_ >= seconds(1);
  if ((hints_changed_ || decaying) && now - map_built_at_ >= tick_interval) {
    map_ = HintMapBuilder::build(state_, devices_, site_.received(), region_.received(), map_->version() + 1,
                                 now);
    map_built_at_ = now;
    hints_changed_ = false;
  }
}

}  // namespace lemonroute::tiers
