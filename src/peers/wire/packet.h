// One datagram in decoded form, and its encoding in protobuf (proto/peers.proto). decode() either gives a
// packet with every field within its bounds, or the reason why it does not.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peers/membership/fact.h"

namespace lemonroute::peers::wire {

using membership::Fact;

/// Asks the member `target` for an ack; with sequence 0 no ack is awaited, with an empty name anyone answers.
struct Ping {
  std::uint32_t sequence = 0;  ///< the ack repeats it
  std::string target;          ///< name of the pinged member
  /// Digest of the sender's member table.
  std::uint64_t digest = 0;
};
/// Asks the recipient to ping the member `target` at `address` on the sender's behalf (ping-req in SWIM).
struct PingRequest {
  std::uint32_t sequence = 0;  ///< the answer repeats it
  std::string target,          ///< name of the member to ping
      address;                 ///< address of the member to ping
};
/// Acknowledges a ping, either directly or on behalf of the member `target`.
struct Ack {
  std::uint32_t sequence = 0;  ///< of the ping or of the request
  std::string target;          ///< name of the member that was pinged
  /// Digest of the sender's member table; 0 in an ack that is passed on.
  std::uint64_t digest = 0;
  /// Start of the process that answered, Unix time in microseconds.
  std::uint64_t start = 0;
};
/// Reports that the member `target` did not answer the recipient's request in time.
struct Nack {
  std::uint32_t sequence = 0;  ///< of the request
  std::string target;          ///< name of the member that did not answer
};
/// An anti-entropy exchange: the recipient sends the facts of each bucket whose hash differs from its own.
struct Sync {
  std::vector<std::uint32_t> buckets;  ///< hash of each bucket of the sender's member table
  /// Whether this is the reply to a Sync and expects none.
  bool is_reply = false;
};
/// No body, facts only.
struct Facts {};
/// Data of an extension.
struct Payload {
  std::uint32_t topic = 0;  ///< topic of the extension
  std::string content;      ///< bytes that only the extension reads
};
/// What a packet is about.
using Body = std::variant<Facts, Ping, PingRequest, Ack, Nack, Sync, Payload>;

/// A decoded datagram.
struct Packet {
  /// The sender; its standing and reporter carry no information.
  Fact sender;
  Body body;  ///< what the packet is about
  /// Piggybacked facts.
  std::vector<Fact> facts;
};

/// Why a datagram was not decoded: not parsable or too long, an unknown version, or a field out of bounds.
enum class DecodeError { none, unreadable, unknown_version, bad_field };

/// Encodes a packet with as many facts, from the front, as fit into limits::max_plain_bytes; `facts_encoded`
/// receives their number.
std::string encode(const Packet& packet, std::size_t* facts_encoded = nullptr);
/// Decodes a packet. Invalid facts are left out and counted in `facts_left_out`.
DecodeError decode(std::string_view bytes, Packet& packet, std::uint64_t& facts_left_out);
/// Upper bound of a fact's size in a packet, in bytes.
std::size_t max_encoded_bytes(const Fact& fact);

}  // namespace lemonroute::peers::wire
