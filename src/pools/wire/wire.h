// Pools' payloads: read strictly, with every field bounded, and written in pieces that fit.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pools/demand/own.h"
#include "pools/names.h"
#include "pools/rights/ballot.h"

namespace lemonroute::pools::wire {

struct Entry {
  PoolName pool;
  Owned owned;  // its time on this process's clock; goes as an age
  bool ok = false, active = false;
};
struct Ask {
  std::uint64_t nonce = 0;
  RegionId region = 0;
  std::vector<Entry> pools;
};
struct Grant {
  std::uint64_t nonce = 0;
  bool abstains = false;
  std::vector<Entry> pools;
};
struct Propose {
  Entry pool;
};
using Message = std::variant<Ask, Grant, Propose, Report>;

enum class Fault : std::uint8_t { unreadable, version, mark, bounds };
struct Read {
  std::optional<Message> message;
  Fault fault = Fault::unreadable;  // where there is none
};
// `mark`: of this router's settings; `regions`: how many it knows. Never throws.
Read read(std::string_view bytes, std::uint64_t mark, std::size_t regions, Micros now);

// One payload, or several where entries need them; each within peers::Outbox::max_payload_bytes.
std::vector<std::string> write(const Message& message, std::uint64_t mark, Micros now);

}  // namespace lemonroute::pools::wire
