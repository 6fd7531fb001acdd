#include "tiers/wire/payload.h"

#include <algorithm>
#include <unordered_map>

#include "peers/extension.h"
#include "proto/tiers.pb.h"

namespace lemonroute::tiers {

namespace {
constexpr std::uint32_t version = 1, most_tokens = 1 << 24, most_tenths = 1 << 16;
constexpr std::uint64_t year_2100 = 4'102'444'800'000'000;
constexpr int most_devices = 64, most_lines = 128, numbers_of_holder = 6;
constexpr std::size_t head_bytes = 48;  // the payload's own fields at their longest
const Micros tenth = std::chrono::milliseconds(100);

std::size_t varint(std::uint64_t value) {
  std::size_t bytes = 1;
  while (value >>= 7)
    ++bytes;
  return bytes;
}
}  // namespace

std::optional<Payload> read(std::string_view bytes, Micros now, const char*& why) {
  const auto bad = [&](const char* word) {
    why = word;
    return std::nullopt;
  };
  v1::Payload from;
  if (bytes.size() > peers::Outbox::max_payload_bytes)
    return bad("oversize");
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return bad("unreadable");
  if (from.version() != version)
    return bad("version");
  if (from.kind() < v1::votes || from.kind() > v1::ask || from.tier() > 1)
    return bad("kind");
  if (from.devices_size() > most_devices || from.contributors_size() > most_devices ||
      from.rows_size() > most_lines)
    return bad("count");
  if (from.start() >= year_2100)
    return bad("start");
  Payload payload;
  payload.kind = static_cast<Kind>(from.kind());
  payload.tier = static_cast<Tier>(from.tier());
  payload.stamp = {from.start(), from.number()};
  payload.digest = from.digest();
  for (const auto& device : from.devices()) {
    if (device.name() == 0 || device.start() >= year_2100)
      return bad("device");
    payload.devices.emplace_back(device.name(), Generation{device.start(), device.lanes()});
  }
  const int most_holders = payload.kind == Kind::votes ? 2 : holders_bound;
  for (const auto& row : from.rows()) {
    Line line{row.key(), static_cast<std::uint8_t>(row.weight()), {}};
    if (row.weight() > 255)
      return bad("weight");
    if (row.holders_size() % numbers_of_holder != 0 || row.holders_size() > most_holders * numbers_of_holder)
      return bad("holders");
    for (int i = 0; i < row.holders_size(); i += numbers_of_holder) {
      const auto at = [&](int field) { return row.holders(i + field); };
      if (at(0) >= payload.devices.size())
        return bad("index");
      const bool votes = payload.kind == Kind::votes;
      if (!votes && at(4) >= static_cast<std::uint32_t>(from.contributors_size()))
        return bad("index");
      if (at(1) == 0 || at(1) > most_tokens || at(2) > 255 || at(3) > most_tenths || at(5) > Row::most)
        return bad("holder");
      const auto& [device, generation] = payload.devices[at(0)];
      for (const auto& other : line.holders)
        if (other.device == device)
          return bad("twice");
      line.holders.push_back({device, generation, at(1), static_cast<std::uint8_t>(at(2)),
                              now - at(3) * tenth, votes ? 0 : from.contributors(static_cast<int>(at(4))),
                              static_cast<std::uint8_t>(at(5))});
    }
    payload.lines.push_back(std::move(line));
  }
  return payload;
}

struct Packer::Parts {
  v1::Payload payload;
  std::unordered_map<NameId, std::uint32_t> devices, contributors;
  std::size_t bytes = head_bytes;
};

Packer::Packer(Kind kind, Tier tier, Stamp stamp) : parts_(std::make_unique<Parts>()) {
  auto& payload = parts_->payload;
  payload.set_version(version);
  payload.set_kind(static_cast<v1::Kind>(kind));
  payload.set_tier(static_cast<std::uint32_t>(tier));
  payload.set_start(stamp.start);
  payload.set_number(stamp.number);
}
Packer::~Packer() = default;
Packer::Packer(Packer&&) noexcept = default;
Packer& Packer::operator=(Packer&&) noexcept = default;

bool Packer::add(NameId device, const Generation& generation) {
  auto& [payload, devices, contributors, bytes] = *parts_;
  if (devices.count(device))
    return true;
  const auto cost =
      2 + 9 + 1 + varint(generation.start) + (generation.lanes ? 1 + varint(generation.lanes) : 0);
  if (bytes + cost > peers::Outbox::max_payload_bytes || payload.devices_size() == most_devices)
    return false;
  bytes += cost;
  devices[device] = static_cast<std::uint32_t>(payload.devices_size());
  auto* to = payload.add_devices();
  to->set_name(device);
  to->set_start(generation.start);
  to->set_lanes(generation.lanes);
  return true;
}

bool Packer::add(const Line& line, Micros now) {
  auto& [payload, devices, contributors, bytes] = *parts_;
  if (payload.rows_size() == most_lines)
    return false;
  // At its longest: every name new, each number of a holder at its bound.
  std::size_t cost = 2 + 9 + 3 + 2;
  for (const auto& holder : line.holders)
    cost += 1 + 4 + 2 + 3 + 1 + 1 + 8 + 2 + 12 + varint(holder.generation.start) +
            (holder.generation.lanes ? 1 + varint(holder.generation.lanes) : 0);
  const auto room = static_cast<int>(line.holders.size());
  if (bytes + cost > peers::Outbox::max_payload_bytes || payload.devices_size() + room > most_devices ||
      payload.contributors_size() + room > most_devices)
    return false;
  auto* row = payload.add_rows();
  row->set_key(line.key);
  row->set_weight(line.weight);
  for (const auto& holder : line.holders) {
    add(holder.device, holder.generation);
    std::uint32_t by = 0;
    if (payload.kind() == v1::rows) {
      const auto [at, fresh] =
          contributors.try_emplace(holder.by, static_cast<std::uint32_t>(payload.contributors_size()));
      by = at->second;
      if (fresh) {
        payload.add_contributors(holder.by);
        bytes += 8 + 2;
      }
    }
    const auto tenths = std::clamp<std::int64_t>((now - holder.seen) / tenth, 0, most_tenths);
    const std::uint32_t numbers[] = {devices[holder.device],
                                     std::clamp<std::uint32_t>(holder.tokens, 1, most_tokens),
                                     holder.confidence,
                                     static_cast<std::uint32_t>(tenths),
                                     by,
                                     payload.kind() == v1::rows ? holder.votes : 0u};
    for (const auto number : numbers) {
      row->add_holders(number);
      bytes += varint(number);
    }
  }
  bytes += 2 + 9 + (line.weight ? 3 : 0) + 2;
  return true;
}

bool Packer::empty() const {
  return parts_->devices.empty() && parts_->payload.rows_size() == 0;
}

std::string Packer::bytes(std::uint64_t digest) const {
  parts_->payload.set_digest(digest);
  return parts_->payload.SerializeAsString();
}

}  // namespace lemonroute::tiers
