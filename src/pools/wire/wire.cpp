#include "pools/wire/wire.h"

#include <algorithm>
#include <cmath>

#include "peers/extension.h"
#include "proto/pools.pb.h"

namespace lemonroute::pools::wire {
namespace {

namespace v1 = lemonroute::pools::v1;
constexpr std::uint32_t format_version = 1;
constexpr std::uint64_t max_counter = std::uint64_t(1) << 62, max_age_ms = std::uint64_t(1) << 40;
constexpr std::uint32_t max_milliwriters = 100'000'000;

void to_proto(const PoolEntry& entry, Micros now, v1::Known& to) {
  to.set_site(entry.pool.site);
  to.set_cell(entry.pool.cell);
  if (entry.ownership.ballot != Ballot{}) {
    to.mutable_ballot()->set_counter(entry.ownership.ballot.counter);
    to.mutable_ballot()->set_region(entry.ownership.ballot.proposer_region);
    to.mutable_ballot()->set_by(entry.ownership.ballot.proposer_id);
  }
  to.set_owner(entry.ownership.owner);
  if (entry.ownership.granted_at > Micros(0))
    to.set_age_ms(static_cast<std::uint64_t>(
        std::max<std::int64_t>(1, (now - entry.ownership.granted_at).count() / 1000)));
  to.set_ok(entry.granted);
  to.set_active(entry.granted_to_owner);
}

bool from_proto(const v1::Known& known, std::size_t regions, Micros now, PoolEntry& to) {
  if (known.site().empty() || known.site().size() > max_name_bytes || known.cell() > 65535 ||
      known.owner() >= regions || known.ballot().region() >= regions ||
      known.ballot().counter() > max_counter || known.age_ms() > max_age_ms)
    return false;
  to.pool = {known.site(), known.cell()};
  to.ownership.ballot = {known.ballot().counter(), known.ballot().region(), known.ballot().by()};
  to.ownership.owner = known.owner();
  if (known.age_ms() > 0)
    to.ownership.granted_at = std::max(Micros(1), now - std::chrono::milliseconds(known.age_ms()));
  to.granted = known.ok();
  to.granted_to_owner = known.active();
  return true;
}

template <class KnownList>
bool all_from_proto(const KnownList& all_known, std::size_t regions, Micros now, std::vector<PoolEntry>& to) {
  for (const auto& known : all_known) {
    to.emplace_back();
    if (!from_proto(known, regions, now, to.back()))
      return false;
  }
  return true;
}

// Splits entries into payloads of at most peers::Outbox::max_payload_bytes bytes. `begin` writes the other
// fields of a payload and returns the field that its entries are added to.
template <class Begin>
std::vector<std::string> split(const std::vector<PoolEntry>& entries, std::uint64_t fingerprint, Micros now,
                               Begin begin) {
  std::vector<std::string> payloads;
  v1::Payload payload;
  google::protobuf::RepeatedPtrField<v1::Known>* to = nullptr;
  std::size_t payload_bytes = 0;
  const auto finish_payload = [&] {
    if (to && !to->empty())
      payloads.push_back(payload.SerializeAsString());
    to = nullptr;
  };
  for (const auto& entry : entries) {
    v1::Known known;
    to_proto(entry, now, known);
    const std::size_t entry_bytes = known.ByteSizeLong() + 3;  // with its tag and length
    // The length prefix of the enclosing message takes one more byte once the message is long.
    if (to && payload_bytes + entry_bytes + 2 > peers::Outbox::max_payload_bytes)
      finish_payload();
    if (!to) {
      payload.Clear();
      payload.set_version(format_version);
      payload.set_mark(fingerprint);
      to = begin(payload);
      payload_bytes = payload.ByteSizeLong();
    }
    *to->Add() = std::move(known);
    payload_bytes += entry_bytes;
  }
  finish_payload();
  return payloads;
}

}  // namespace

ReadResult read(std::string_view bytes, std::uint64_t fingerprint, std::size_t regions, Micros now) {
  v1::Payload payload;
  if (bytes.size() > peers::Outbox::max_payload_bytes ||
      !payload.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {std::nullopt, ReadFault::unreadable};
  if (payload.version() != format_version)
    return {std::nullopt, ReadFault::unknown_version};
  if (payload.mark() != fingerprint)
    return {std::nullopt, ReadFault::settings_mismatch};
  switch (payload.what_case()) {
    case v1::Payload::kAsk: {
      LeaseRequest ask{payload.ask().nonce(), payload.ask().region(), {}};
      if (ask.region < regions && all_from_proto(payload.ask().pools(), regions, now, ask.pools))
        return {std::move(ask)};
      break;
    }
    case v1::Payload::kGrant: {
      LeaseAnswer grant{payload.grant().nonce(), payload.grant().abstains(), {}};
      if (all_from_proto(payload.grant().pools(), regions, now, grant.pools))
        return {std::move(grant)};
      break;
    }
    case v1::Payload::kPropose: {
      Proposal propose;
      if (from_proto(payload.propose().pool(), regions, now, propose.pool))
        return {std::move(propose)};
      break;
    }
    case v1::Payload::kDemand: {
      const auto& demand = payload.demand();
      if (demand.milliwriters() <= max_milliwriters && demand.refused() <= 1000)
        return {DemandReport{demand.sequence(), demand.milliwriters() / 1000.0, demand.refused() / 1000.0}};
      break;
    }
    case v1::Payload::WHAT_NOT_SET:
      return {std::nullopt, ReadFault::unreadable};
  }
  return {std::nullopt, ReadFault::out_of_bounds};
}

std::vector<std::string> write(const Message& message, std::uint64_t fingerprint, Micros now) {
  if (const auto* ask = std::get_if<LeaseRequest>(&message))
    return split(ask->pools, fingerprint, now, [ask](v1::Payload& payload) {
      payload.mutable_ask()->set_nonce(ask->nonce);
      payload.mutable_ask()->set_region(ask->region);
      return payload.mutable_ask()->mutable_pools();
    });
  if (const auto* grant = std::get_if<LeaseAnswer>(&message))
    return split(grant->pools, fingerprint, now, [grant](v1::Payload& payload) {
      payload.mutable_grant()->set_nonce(grant->nonce);
      payload.mutable_grant()->set_abstains(grant->abstains);
      return payload.mutable_grant()->mutable_pools();
    });
  v1::Payload payload;
  payload.set_version(format_version);
  payload.set_mark(fingerprint);
  if (const auto* propose = std::get_if<Proposal>(&message)) {
    to_proto(propose->pool, now, *payload.mutable_propose()->mutable_pool());
  } else {
    const auto& report = std::get<DemandReport>(message);
    payload.mutable_demand()->set_sequence(report.sequence);
    payload.mutable_demand()->set_milliwriters(static_cast<std::uint32_t>(
        std::clamp(std::round(report.decode_nodes * 1000), 0.0, static_cast<double>(max_milliwriters))));
    payload.mutable_demand()->set_refused(
        static_cast<std::uint32_t>(std::clamp(std::round(report.rejected_share * 1000), 0.0, 1000.0)));
  }
  return {payload.SerializeAsString()};
}

}  // namespace lemonroute::pools::wire
