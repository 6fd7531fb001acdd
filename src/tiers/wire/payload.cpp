#include "tiers/wire/payload.h"

#include <algorithm>
#include <unordered_map>

#include "peers/extension.h"
#include "proto/tiers.pb.h"

namespace lemonroute::tiers {

namespace {
constexpr std::uint32_t version = 1, max_tokens = 1 << 24, max_tenths = 1 << 16;
constexpr std::uint64_t year_2100 = 4'102'444'800'000'000;
constexpr int max_devices = 64, max_entries = 128, numbers_per_holder = 6;
constexpr std::size_t max_header_bytes = 48;  // largest size of the payload's other fields
const Micros tenth_of_second = std::chrono::milliseconds(100);

std::size_t varint_size(std::uint64_t value) {
  std::size_t bytes = 1;
  while (value >>= 7)
    ++bytes;
  return bytes;
}
}  // namespace

std::optional<Payload> decode_payload(std::string_view bytes, Micros now, const char*& why) {
  const auto reject = [&](const char* reason) {
    why = reason;
    return std::nullopt;
  };
  v1::Payload message;
  if (bytes.size() > peers::Outbox::max_payload_bytes)
    return reject("oversize");
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return reject("unreadable");
  if (message.version() != version)
    return reject("version");
  if (message.kind() < v1::votes || message.kind() > v1::ask || message.tier() > 1)
    return reject("kind");
  if (message.devices_size() > max_devices || message.contributors_size() > max_devices ||
      message.rows_size() > max_entries)
    return reject("count");
  if (message.start() >= year_2100)
    return reject("start");
  Payload payload;
  payload.kind = static_cast<PayloadKind>(message.kind());
  payload.tier = static_cast<Tier>(message.tier());
  payload.stamp = {message.start(), message.number()};
  payload.digest = message.digest();
  for (const auto& device : message.devices()) {
    if (device.name() == 0 || device.start() >= year_2100)
      return reject("device");
    payload.device_epochs.emplace_back(device.name(), CacheEpoch{device.start(), device.lanes()});
  }
  const int max_holders_per_entry = payload.kind == PayloadKind::votes ? 2 : max_holders;
  for (const auto& row : message.rows()) {
    CacheEntry cache_entry{row.key(), static_cast<std::uint8_t>(row.weight()), {}};
    if (row.weight() > 255)
      return reject("weight");
    if (row.holders_size() % numbers_per_holder != 0 ||
        row.holders_size() > max_holders_per_entry * numbers_per_holder)
      return reject("holders");
    for (int i = 0; i < row.holders_size(); i += numbers_per_holder) {
      const auto at = [&](int field) { return row.holders(i + field); };
      if (at(0) >= payload.device_epochs.size())
        return reject("index");
      const bool votes = payload.kind == PayloadKind::votes;
      if (!votes && at(4) >= static_cast<std::uint32_t>(message.contributors_size()))
        return reject("index");
      if (at(1) == 0 || at(1) > max_tokens || at(2) > 255 || at(3) > max_tenths || at(5) > VoteSet::max_votes)
        return reject("holder");
      const auto& [device, epoch] = payload.device_epochs[at(0)];
      for (const auto& other : cache_entry.holders)
        if (other.device == device)
          return reject("twice");
      cache_entry.holders.push_back(
          {device, epoch, at(1), static_cast<std::uint8_t>(at(2)), now - at(3) * tenth_of_second,
           votes ? 0 : message.contributors(static_cast<int>(at(4))), static_cast<std::uint8_t>(at(5))});
    }
    payload.entries.push_back(std::move(cache_entry));
  }
  return payload;
}

struct PayloadEncoder::Parts {
  v1::Payload payload;
  std::unordered_map<NameId, std::uint32_t> devices, contributors;
  std::size_t bytes = max_header_bytes;
};

PayloadEncoder::PayloadEncoder(PayloadKind kind, Tier tier, VoteStamp stamp)
    : parts_(std::make_unique<Parts>()) {
  auto& payload = parts_->payload;
  payload.set_version(version);
  payload.set_kind(static_cast<v1::Kind>(kind));
  payload.set_tier(static_cast<std::uint32_t>(tier));
  payload.set_start(stamp.process_start);
  payload.set_number(stamp.sequence);
}
PayloadEncoder::~PayloadEncoder() = default;
PayloadEncoder::PayloadEncoder(PayloadEncoder&&) noexcept = default;
PayloadEncoder& PayloadEncoder::operator=(PayloadEncoder&&) noexcept = default;

bool PayloadEncoder::add(NameId device, const CacheEpoch& epoch) {
  auto& [payload, devices, contributors, bytes] = *parts_;
  if (devices.count(device))
    return true;
  const auto cost =
      2 + 9 + 1 + varint_size(epoch.start) + (epoch.loss_counts ? 1 + varint_size(epoch.loss_counts) : 0);
  if (bytes + cost > peers::Outbox::max_payload_bytes || payload.devices_size() == max_devices)
    return false;
  bytes += cost;
  devices[device] = static_cast<std::uint32_t>(payload.devices_size());
  auto* to = payload.add_devices();
  to->set_name(device);
  to->set_start(epoch.start);
  to->set_lanes(epoch.loss_counts);
  return true;
}

bool PayloadEncoder::add(const CacheEntry& cache_entry, Micros now) {
  auto& [payload, devices, contributors, bytes] = *parts_;
  if (payload.rows_size() == max_entries)
    return false;
  // The largest size: every device and contributor is new, and each number of a holder is at its bound.
  std::size_t cost = 2 + 9 + 3 + 2;
  for (const auto& holder : cache_entry.holders)
    cost += 1 + 4 + 2 + 3 + 1 + 1 + 8 + 2 + 12 + varint_size(holder.epoch.start) +
            (holder.epoch.loss_counts ? 1 + varint_size(holder.epoch.loss_counts) : 0);
  const auto room = static_cast<int>(cache_entry.holders.size());
  if (bytes + cost > peers::Outbox::max_payload_bytes || payload.devices_size() + room > max_devices ||
      payload.contributors_size() + room > max_devices)
    return false;
  auto* row = payload.add_rows();
  row->set_key(cache_entry.key);
  row->set_weight(cache_entry.weight);
  for (const auto& holder : cache_entry.holders) {
    add(holder.device, holder.epoch);
    std::uint32_t by = 0;
    if (payload.kind() == v1::rows) {
      const auto [at, fresh] = contributors.try_emplace(
          holder.contributor, static_cast<std::uint32_t>(payload.contributors_size()));
      by = at->second;
      if (fresh) {
        payload.add_contributors(holder.contributor);
        bytes += 8 + 2;
      }
    }
    const auto tenths = std::clamp<std::int64_t>((now - holder.seen_at) / tenth_of_second, 0, max_tenths);
    const std::uint32_t numbers[] = {devices[holder.device],
                                     std::clamp<std::uint32_t>(holder.tokens, 1, max_tokens),
                                     holder.confidence,
                                     static_cast<std::uint32_t>(tenths),
                                     by,
                                     payload.kind() == v1::rows ? holder.vote_count : 0u};
    for (const auto number : numbers) {
      row->add_holders(number);
      bytes += varint_size(number);
    }
  }
  bytes += 2 + 9 + (cache_entry.weight ? 3 : 0) + 2;
  return true;
}

bool PayloadEncoder::empty() const {
  return parts_->devices.empty() && parts_->payload.rows_size() == 0;
}

std::string PayloadEncoder::encode(std::uint64_t digest) const {
  parts_->payload.set_digest(digest);
  return parts_->payload.SerializeAsString();
}

}  // namespace lemonroute::tiers
