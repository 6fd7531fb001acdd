#include "tiers/share/level.h"

#include <algorithm>

namespace lemonroute::tiers {

namespace {
constexpr Micros ask_every = std::chrono::seconds(5);  // of one member; the earlier ones of it are not heard
constexpr std::size_t slice_payloads = 4, askers_at_once = 4;  // in a tick
constexpr std::size_t payloads_at_once = 8;                    // told in a tick
constexpr std::size_t lines_of_payload = 64;  // more than ever fit, so that a payload gets full
}  // namespace

Level::Level(Known& known, Tier tier, std::size_t most_keys)
    : known_(known),
      tier_(tier),
      homes_(known.names, tier),
      vote_table_(known.names, most_keys),
      announcements_(most_keys),
      told_(most_keys),
      push_(known.options.limits.push_bytes) {}

std::vector<std::size_t> Level::viewed(const peers::View& view) {
  const auto& options = known_.options;
  std::vector<std::string> sites{options.site};
  if (tier_ == Tier::region) {
    sites.clear();
    for (const auto& [name, some] : options.regions)
      if (std::find(some.begin(), some.end(), options.site) != some.end())
        sites = some;
  }
  auto changed = homes_.viewed(view, [&](const peers::Member& member) {
    return std::find(sites.begin(), sites.end(), member.site) != sites.end();
  });
  if (!changed.empty()) {
    announcements_.keep_only([&](KeyId key) { return homes_.heads(options.name, shard_of(key)); });
    choose_all_ = true;
  }
  std::erase_if(askers_, [&](const auto& one) { return !homes_.has(one.first); });
  return changed;
}

void Level::votes(Micros now, NameId contributor, const Payload& payload) {
  for (const auto& line : payload.lines) {
    Vote vote{payload.stamp, {}, line.weight, now};
    for (const auto& holder : line.holders)
      vote.holders.push_back(
          {holder.device, holder.generation, holder.tokens, holder.confidence, holder.seen});
    vote_table_.put(line.key, contributor, std::move(vote));
  }
}

bool Level::rows(Micros now, std::string_view from, const Payload& payload) {
  const auto teller = known_.names.of(from);
  bool other = false;
  for (const auto& line : payload.lines) {
    // Guards against one member telling about shards that are not its own. Where views differ for a moment,
    // the next repeat makes good for it.
    if (!homes_.keeps(from, shard_of(line.key)))
      ++not_collectors_;
    else
      other |= told_.put(line, teller, now, [&](NameId name) { return known_.believed(name, now); });
  }
  return other;
}

void Level::vote(Mail& mail, const Line& line, Micros now, Budget& budget, peers::Outbox& out) {
  for (const auto& collector : homes_.collectors(shard_of(line.key))) {
    if (collector == known_.options.name) {
      Payload own;
      own.stamp = known_.next_stamp();
      own.lines.push_back(line);
      votes(now, known_.me, own);
      continue;
    }
    auto at = mail.open.find(collector);
    if (at == mail.open.end())
      at = mail.open.emplace(collector, Packer(Kind::votes, tier_, known_.next_stamp())).first;
    if (at->second.add(line, now))
      continue;
    const auto bytes = at->second.bytes();
    budget.spend(bytes.size());
    known_.send("votes", out, collector, bytes);
    at->second = Packer(Kind::votes, tier_, known_.next_stamp());
    at->second.add(line, now);
  }
}

void Level::flush(Mail& mail, Budget& budget, peers::Outbox& out) {
  for (auto& [collector, packer] : mail.open) {
    if (packer.empty())
      continue;
    const auto bytes = packer.bytes();
    budget.spend(bytes.size());
    known_.send("votes", out, collector, bytes);
  }
  mail.open.clear();
}

bool Level::choose_one(KeyId key, Micros now) {
  if (!homes_.heads(known_.options.name, shard_of(key)))
    return false;
  Line line{key, 0, {}};
  if (const auto* row = vote_table_.find(key)) {
    const Believed believed{[&](NameId device, const Generation& generation) {
                              return known_.generations.holds(device, generation);
                            },
                            [&](NameId by) { return known_.believed(by, now); }, now,
                            known_.options.limits.fade};
    line.holders = choose(*row, announcements_.holders(key), believed);
    line.weight = static_cast<std::uint8_t>(row->weight());
  }
  const auto trust = [&](NameId name) { return known_.believed(name, now); };
  const bool other = told_.put(line, known_.me, now, trust);
  announcements_.set(std::move(line));
  return other;
}

bool Level::run(Micros now, peers::Outbox& out) {
  const auto& limits = known_.options.limits;
  bool other = false;
  if (choose_all_ || now - chosen_all_ >= limits.repeat / 2) {
    chosen_all_ = now;
    choose_all_ = false;
    vote_table_.expire(now - limits.lease());
    other |= told_.expire(now - limits.lease());
    vote_table_.take_touched();
    for (const auto key : announcements_.keys())
      other |= choose_one(key, now);  // those whose votes are gone as well
    vote_table_.each([&](KeyId key, const Row&) { other |= choose_one(key, now); });
  } else {
    for (const auto key : vote_table_.take_touched())
      other |= choose_one(key, now);
  }
  push_.refill(now);
  tell_all(now, out);
  serve_asks(now, out);
  return other;
}

void Level::tell_all(Micros now, peers::Outbox& out) {
  const auto audience = homes_.members().size() - (homes_.has(known_.options.name) ? 1 : 0);
  if (audience == 0) {
    for (const auto key : announcements_.keys())
      announcements_.told(key, now);
    return;
  }
  for (std::size_t i = 0; i < payloads_at_once && push_.left() > 0; ++i) {
    Packer packer(Kind::rows, tier_, {});
    for (const auto* line : announcements_.due(now, known_.options.limits.repeat, lines_of_payload)) {
      if (!packer.add(*line, now))
        break;
      announcements_.told(line->key, now);
    }
    if (packer.empty())
      return;
    const auto bytes = packer.bytes();
    push_.spend(bytes.size() * audience);
    for (const auto& member : homes_.members())
      if (member != known_.options.name)
        known_.send(word(), out, member, bytes);
  }
}

void Level::asked(Micros now, std::string_view from) {
  if (!homes_.has(from))
    return;
  auto [at, fresh] = askers_.try_emplace(std::string(from));
  if (!fresh && now - at->second.at < ask_every)
    return;
  at->second = {0, now, true};
}

void Level::serve_asks(Micros now, peers::Outbox& out) {
  std::size_t served = 0;
  for (auto& [name, asker] : askers_) {
    if (!asker.open || served == askers_at_once || push_.left() <= 0)
      continue;
    ++served;
    for (std::size_t i = 0; i < slice_payloads && asker.open; ++i) {
      Packer packer(Kind::rows, tier_, {});
      // Of what it was told as well: a head that has just started anew has nothing yet, the next in rank has.
      const auto lines = told_.after(asker.cursor, lines_of_payload, [&](std::size_t shard) {
        return homes_.keeps(known_.options.name, shard);
      });
      std::size_t packed = 0;
      for (const auto& line : lines) {
        if (!packer.add(line, now))
          break;
        asker.cursor = line.key;
        ++packed;
      }
      asker.open = packed < lines.size() || lines.size() == lines_of_payload;
      if (packer.empty())
        break;
      const auto bytes = packer.bytes();
      push_.spend(bytes.size());
      known_.send(word(), out, name, bytes);
    }
  }
}

void Level::ask(Micros, peers::Outbox& out) {
  std::vector<std::string> heads;
  for (std::size_t shard = 0; shard < shards; ++shard)
    for (const auto& collector : homes_.collectors(shard)) {
      if (collector == known_.options.name)
        continue;  // it has nothing yet: the next in rank may have
      if (std::find(heads.begin(), heads.end(), collector) == heads.end())
        heads.push_back(collector);
      break;
    }
  const auto bytes = Packer(Kind::ask, tier_, {}).bytes();
  for (const auto& head : heads)
    known_.send("asks", out, head, bytes);
}

}  // namespace lemonroute::tiers
