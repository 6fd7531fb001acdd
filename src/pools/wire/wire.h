// Reads and writes the payloads of pools. Every field that is read has bounds; a message that is too long for
// one payload is split.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pools/demand/local_demand.h"
#include "pools/leases/ballot.h"
#include "pools/names.h"

namespace lemonroute::pools::wire {

/// State of one pool.
struct PoolEntry {
  /// Name of the pool.
  PoolName pool;
  Ownership ownership;  ///< its time is on this process's clock; the payload has it as an age
  /// Of an answer: `granted`: granted to the requesting region; `granted_to_owner`: the owner has a grant.
  bool granted = false,          ///< granted to the requesting region
      granted_to_owner = false;  ///< the owner has a grant
};
/// Request of a router for leases.
struct LeaseRequest {
  std::uint64_t nonce = 0;  ///< the answer repeats it
  RegionId region = 0;      ///< region of the requesting router
  /// The pools that the request is about.
  std::vector<PoolEntry> pools;
};
/// Answer of a grantor.
struct LeaseAnswer {
  std::uint64_t nonce = 0;  ///< of the request
  bool abstains = false;    ///< the grantor has started and grants nothing yet
  /// The answer for each pool.
  std::vector<PoolEntry> pools;
};
/// Proposal of a pool's next owner.
struct Proposal {
  /// The pool, with the proposed ownership.
  PoolEntry pool;
};
/// The content of a payload.
using Message = std::variant<LeaseRequest, LeaseAnswer, Proposal, DemandReport>;

/// Why a payload was rejected.
enum class ReadFault : std::uint8_t {
  unreadable,         ///< not a payload of pools
  unknown_version,    ///< unknown version of the format
  settings_mismatch,  ///< the sender's settings differ
  out_of_bounds       ///< a field is out of bounds
};
/// Result of reading a payload.
struct ReadResult {
  /// The message; nothing if the payload was rejected.
  std::optional<Message> message;
  ReadFault fault = ReadFault::unreadable;  ///< valid if there is no message
};
/// Reads a payload. `fingerprint`: of this router's settings. `regions`: number of regions in them. Never
/// throws.
ReadResult read(std::string_view bytes, std::uint64_t fingerprint, std::size_t regions, Micros now);

/// Writes a message as one payload, or as several if its entries need them. Each payload has at most
/// peers::Outbox::max_payload_bytes bytes.
std::vector<std::string> write(const Message& message, std::uint64_t fingerprint, Micros now);

}  // namespace lemonroute::pools::wire
