#include "tiers/extension.h"

#include <algorithm>
#include <set>

namespace lemonroute::tiers {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace {
constexpr std::size_t generations_of_payload = 40;
constexpr std::size_t keys_at_once = 256;     // told to collectors in a tick
constexpr std::size_t vote_bytes_about = 75;  // of one key, to its three collectors
constexpr std::size_t generation_bytes =
    32 * 1024;  // a second: who floods with generations makes nobody pass on more
constexpr double most_tokens = 1 << 24;
constexpr unsigned most_asks = 3;  // datagrams may be lost
std::uint32_t whole(double tokens) {
  return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, most_tokens));
}
}  // namespace

Tiers::Tiers(Options options, std::uint64_t seed)
    : known_(std::move(options)),
      device_(known_.options.limits),
      site_(known_, Tier::site, known_.options.limits.site_keys),
      region_(known_, Tier::region, known_.options.limits.region_keys),
      gossip_(seed ^ known_.me),
      vote_budget_(known_.options.limits.vote_bytes),
      generation_budget_(generation_bytes),
      map_(std::make_shared<Map>(known_.names)) {}

void Tiers::on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                             Micros now) {
  const auto device = known_.names.of(node.name);
  const auto* generation = known_.generations.find(device);
  if (!generation)
    return;  // not of the list
  if (session != 0)
    device_.saw(known_.names.session(session), device, *generation, whole(tokens), now);
  if (shared != 0)
    device_.saw(known_.names.shared(shared), device, *generation, whole(std::min(tokens, shared_tokens)),
                now);
}

void Tiers::judge(KeyId key, NameId device, double tokens, Micros now, std::map<NameId, double>& wrong,
                  std::set<NameId>& right) {
  for (const auto* told : {&site_.told(), &region_.told()}) {
    const auto* row = told->find(key);
    if (!row)
      continue;
    for (const auto& holder : row->holders) {
      if (holder.device != device || MapMaker::confidence(known_, key, *row, holder, now) <= 0)
        continue;
      if (tokens < holder.tokens / 2.0) {
        wrong[holder.by] = 0.5;
        wrong.try_emplace(row->teller, 0.9);
        known_.denied.add(key, device, now + known_.options.limits.fade);
        changed_ = true;
      } else {
        right.insert(holder.by);
        right.insert(row->teller);
      }
    }
  }
}

void Tiers::on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) {
  const auto device = known_.names.of(node.name);
  const auto* generation = known_.generations.find(device);
  if (!generation)
    return;
  std::map<NameId, double> wrong;
  std::set<NameId> right;
  for (const auto key :
       {session ? known_.names.session(session) : 0, shared ? known_.names.shared(shared) : 0}) {
    if (key == 0)
      continue;
    judge(key, device, tokens, now, wrong, right);
    const auto* own = device_.find(key, device);
    // Only what this router saw before the loss was told can disprove it, and only a session's text: an
    // opening may have been read there anew for somebody else.
    if (session != 0 && key == known_.names.session(session) && own && !(own->generation == *generation) &&
        tokens >= own->tokens / 2.0 && known_.generations.void_lately(device, now))
      known_.generations.disproved(device, now);
    device_.found(key, device, whole(tokens), now);
  }
  for (const auto& [name, factor] : wrong)
    if (name != known_.me)
      known_.trust.contradicted(name, now, factor);
  for (const auto name : right)
    if (name != known_.me && !wrong.count(name))
      known_.trust.confirmed(name, now);
}

void Tiers::advanced(NameId device) {
  gossip_.advanced(device);
  site_.generations_advanced();
  region_.generations_advanced();
  changed_ = true;
  due_ = Micros{};  // at once
}

void Tiers::on_cache_lost(const Node& node, Micros now) {
  const auto device = known_.names.of(node.name);
  if (devices_.count(device) && known_.generations.lost(device, now))
    advanced(device);
}

void Tiers::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  known_.generations.unlist_all();
  devices_.clear();
  for (const auto& node : nodes) {
    const auto device = known_.names.of(node.name);
    const bool before = known_.generations.find(device) != nullptr;
    const auto start = static_cast<std::uint64_t>(std::max<std::int64_t>(0, node.listed_start.count()));
    devices_[device] = {node.name, node.zone};
    if (known_.generations.listed(device, start, now) && before)
      advanced(device);
  }
  changed_ = true;
}

void Tiers::on_view_change(Micros, const peers::View& view) {
  members_.clear();
  for (const auto& member : view.members)
    if (member.is_live())
      members_.push_back(member.name);
  const auto moved = site_.viewed(view);
  const auto has = [&](KeyId key) {
    return std::find(moved.begin(), moved.end(), shard_of(key)) != moved.end();
  };
  if (!moved.empty())
    device_.again(has);
  uplift_.again(region_.viewed(view));
}

void Tiers::learn(const Payload& payload, Micros now) {
  for (const auto& [device, generation] : payload.devices) {
    const auto* had = known_.generations.find(device);
    const bool before = had != nullptr, same = before && *had == generation;
    if (same)
      gossip_.heard(device);
    else if (known_.generations.told(device, generation, now) && before)
      advanced(device);
  }
}

void Tiers::receive(Micros now, std::string_view from, std::string_view bytes, peers::Outbox& out) {
  const char* why = "";
  const auto payload = read(bytes, now, why);
  if (!payload) {
    ++known_.dropped[why];
    return;
  }
  static constexpr const char* words[] = {"", "votes", "rows", "eras", "digests", "asks"};
  auto& traffic = known_.traffic[words[static_cast<int>(payload->kind)]];
  ++traffic.payloads_in;
  traffic.bytes_in += bytes.size();
  auto& level = payload->tier == Tier::site ? site_ : region_;
  const bool ours = level.homes().has(from);
  if (!ours && payload->kind != Kind::generations && payload->kind != Kind::digest) {
    ++known_.dropped["stranger"];
    return;
  }
  learn(*payload, now);
  switch (payload->kind) {
    case Kind::votes:
      level.votes(now, known_.names.of(from), *payload);
      break;
    case Kind::rows:
      changed_ |= level.rows(now, from, *payload);
      break;
    case Kind::ask:
      level.asked(now, from);
      break;
    case Kind::digest:
      generation_budget_.refill(now);
      if (payload->digest != known_.generations.digest() && generation_budget_.left() > 0)
        send_generations(from, known_.generations.slice(generations_cursor_, generations_of_payload), out);
      break;
    case Kind::generations:
      break;
  }
  if (due_ == Micros{})
    gossip(now, out);
}

void Tiers::send_generations(std::string_view to,
                             const std::vector<std::pair<NameId, Generation>>& generations,
                             peers::Outbox& out) {
  Packer packer(Kind::generations, Tier::site, {});
  for (const auto& [device, generation] : generations)
    packer.add(device, generation);
  if (packer.empty())
    return;
  const auto bytes = packer.bytes();
  generation_budget_.spend(bytes.size());
  known_.send("eras", out, to, bytes);
}

void Tiers::gossip(Micros now, peers::Outbox& out) {
  generation_budget_.refill(now);
  if (generation_budget_.left() <= 0)
    return;
  std::vector<std::pair<NameId, Generation>> generations;
  for (const auto device : gossip_.take(generations_of_payload))
    if (const auto* generation = known_.generations.find(device))
      generations.emplace_back(device, *generation);
  if (generations.empty())
    return;
  for (const auto& to : gossip_.draw(members_, known_.options.name, Gossip::fan_out))
    send_generations(to, generations, out);
}

void Tiers::compare(Micros now, peers::Outbox& out) {
  if (now - compared_ < seconds(1))
    return;
  compared_ = now;
  for (const auto& to : gossip_.draw(members_, known_.options.name, 1))
    known_.send("digests", out, to, Packer(Kind::digest, Tier::site, {}).bytes(known_.generations.digest()));
}

void Tiers::contribute(Micros now, peers::Outbox& out) {
  vote_budget_.refill(now);
  if (vote_budget_.left() <= 0)
    return;
  Level::Mail mail;
  const auto room = static_cast<std::size_t>(vote_budget_.left()) / vote_bytes_about + 1;
  for (const auto key : device_.due(now, std::min(keys_at_once, room))) {
    Line line{key, device_.weight(key), {}};
    for (const auto& holder : device_.holders(key))
      if (known_.generations.holds(holder.device, holder.generation))
        line.holders.push_back(
            {holder.device, holder.generation, holder.tokens, holder.confidence, holder.seen});
    site_.vote(mail, line, now, vote_budget_, out);
  }
  site_.flush(mail, vote_budget_, out);
  if (now - uplifted_ < milliseconds(500))
    return;
  uplifted_ = now;
  uplift_.run(now, known_.options, known_.me, site_, region_, vote_budget_, out);
}

void Tiers::ask(Micros now, peers::Outbox& out) {
  if (asks_ >= most_asks || members_.size() < 2 || (asks_ > 0 && now - asked_ < seconds(1)))
    return;
  ++asks_;
  asked_ = now;
  site_.ask(now, out);
  region_.ask(now, out);
}

void Tiers::run_due(Micros now, peers::Outbox& out) {
  if (now < due_)
    return;
  due_ = now + tick;
  ask(now, out);
  gossip(now, out);
  compare(now, out);
  if (now - swept_ >= seconds(1)) {
    swept_ = now;
    device_.expire(
        [&](NameId device, const Generation& generation) {
          return known_.generations.holds(device, generation) || known_.generations.void_lately(device, now);
        },
        now);
    known_.denied.expire(now);
  }
  contribute(now, out);
  changed_ |= site_.run(now, out);
  changed_ |= region_.run(now, out);
  const bool fading = map_->keys() > 0 && now - made_ >= seconds(1);
  if ((changed_ || fading) && now - made_ >= tick) {
    map_ = MapMaker::make(known_, devices_, site_.told(), region_.told(), map_->version() + 1, now);
    made_ = now;
    changed_ = false;
  }
}

}  // namespace lemonroute::tiers
