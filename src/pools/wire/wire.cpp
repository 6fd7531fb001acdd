#include "pools/wire/wire.h"

#include <algorithm>
#include <cmath>

#include "peers/extension.h"
#include "proto/pools.pb.h"

namespace lemonroute::pools::wire {
namespace {

namespace v1 = lemonroute::pools::v1;
constexpr std::uint32_t version = 1;
constexpr std::uint64_t most_counter = std::uint64_t(1) << 62, most_age_ms = std::uint64_t(1) << 40;
constexpr std::uint32_t most_milliwriters = 100'000'000;

void put(const Entry& from, Micros now, v1::Known& to) {
  to.set_site(from.pool.site);
  to.set_cell(from.pool.cell);
  if (from.owned.ballot != Ballot{}) {
    to.mutable_ballot()->set_counter(from.owned.ballot.counter);
    to.mutable_ballot()->set_region(from.owned.ballot.region);
    to.mutable_ballot()->set_by(from.owned.ballot.by);
  }
  to.set_owner(from.owned.owner);
  if (from.owned.since > Micros(0))
    to.set_age_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, (now - from.owned.since).count() / 1000)));
  to.set_ok(from.ok);
  to.set_active(from.active);
}

bool take(const v1::Known& from, std::size_t regions, Micros now, Entry& to) {
  if (from.site().empty() || from.site().size() > most_name || from.cell() > 65535 ||
      from.owner() >= regions || from.ballot().region() >= regions ||
      from.ballot().counter() > most_counter || from.age_ms() > most_age_ms)
    return false;
  to.pool = {from.site(), from.cell()};
  to.owned.ballot = {from.ballot().counter(), from.ballot().region(), from.ballot().by()};
  to.owned.owner = from.owner();
  if (from.age_ms() > 0)
    to.owned.since = std::max(Micros(1), now - std::chrono::milliseconds(from.age_ms()));
  to.ok = from.ok();
  to.active = from.active();
  return true;
}

template <class From>
bool take_all(const From& from, std::size_t regions, Micros now, std::vector<Entry>& to) {
  for (const auto& one : from) {
    to.emplace_back();
    if (!take(one, regions, now, to.back()))
      return false;
  }
  return true;
}

// Fills payloads one after the other; `begin` writes what each begins with and says where its entries go.
template <class Begin>
std::vector<std::string> pieces(const std::vector<Entry>& entries, std::uint64_t mark, Micros now,
                                Begin begin) {
  std::vector<std::string> all;
  v1::Payload payload;
  google::protobuf::RepeatedPtrField<v1::Known>* to = nullptr;
  std::size_t used = 0;
  const auto end = [&] {
    if (to && !to->empty())
      all.push_back(payload.SerializeAsString());
    to = nullptr;
  };
  for (const auto& entry : entries) {
    v1::Known known;
    put(entry, now, known);
    const std::size_t size = known.ByteSizeLong() + 3;  // its tag and length
    // The outer message's own length takes a byte more once it is long.
    if (to && used + size + 2 > peers::Outbox::max_payload_bytes)
      end();
    if (!to) {
      payload.Clear();
      payload.set_version(version);
      payload.set_mark(mark);
      to = begin(payload);
      used = payload.ByteSizeLong();
    }
    *to->Add() = std::move(known);
    used += size;
  }
  end();
  return all;
}

}  // namespace

Read read(std::string_view bytes, std::uint64_t mark, std::size_t regions, Micros now) {
  v1::Payload payload;
  if (bytes.size() > peers::Outbox::max_payload_bytes ||
      !payload.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {std::nullopt, Fault::unreadable};
  if (payload.version() != version)
    return {std::nullopt, Fault::version};
  if (payload.mark() != mark)
    return {std::nullopt, Fault::mark};
  switch (payload.what_case()) {
    case v1::Payload::kAsk: {
      Ask ask{payload.ask().nonce(), payload.ask().region(), {}};
      if (ask.region < regions && take_all(payload.ask().pools(), regions, now, ask.pools))
        return {std::move(ask)};
      break;
    }
    case v1::Payload::kGrant: {
      Grant grant{payload.grant().nonce(), payload.grant().abstains(), {}};
      if (take_all(payload.grant().pools(), regions, now, grant.pools))
        return {std::move(grant)};
      break;
    }
    case v1::Payload::kPropose: {
      Propose propose;
      if (take(payload.propose().pool(), regions, now, propose.pool))
        return {std::move(propose)};
      break;
    }
    case v1::Payload::kDemand: {
      const auto& demand = payload.demand();
      if (demand.milliwriters() <= most_milliwriters && demand.refused() <= 1000)
        return {Report{demand.sequence(), demand.milliwriters() / 1000.0, demand.refused() / 1000.0}};
      break;
    }
    case v1::Payload::WHAT_NOT_SET:
      return {std::nullopt, Fault::unreadable};
  }
  return {std::nullopt, Fault::bounds};
}

std::vector<std::string> write(const Message& message, std::uint64_t mark, Micros now) {
  if (const auto* ask = std::get_if<Ask>(&message))
    return pieces(ask->pools, mark, now, [ask](v1::Payload& payload) {
      payload.mutable_ask()->set_nonce(ask->nonce);
      payload.mutable_ask()->set_region(ask->region);
      return payload.mutable_ask()->mutable_pools();
    });
  if (const auto* grant = std::get_if<Grant>(&message))
    return pieces(grant->pools, mark, now, [grant](v1::Payload& payload) {
      payload.mutable_grant()->set_nonce(grant->nonce);
      payload.mutable_grant()->set_abstains(grant->abstains);
      return payload.mutable_grant()->mutable_pools();
    });
  v1::Payload payload;
  payload.set_version(version);
  payload.set_mark(mark);
  if (const auto* propose = std::get_if<Propose>(&message)) {
    put(propose->pool, now, *payload.mutable_propose()->mutable_pool());
  } else {
    const auto& report = std::get<Report>(message);
    payload.mutable_demand()->set_sequence(report.sequence);
    payload.mutable_demand()->set_milliwriters(static_cast<std::uint32_t>(
        std::clamp(std::round(report.writers * 1000), 0.0, static_cast<double>(most_milliwriters))));
    payload.mutable_demand()->set_refused(
        static_cast<std::uint32_t>(std::clamp(std::round(report.refused * 1000), 0.0, 1000.0)));
  }
  return {payload.SerializeAsString()};
}

}  // namespace lemonroute::pools::wire
