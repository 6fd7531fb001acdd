// One datagram as the decisions see it, and its protobuf. Whatever was sent, decode gives a packet with every
// field within its bounds or says why not.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peers/membership/fact.h"

namespace lemonroute::peers::wire {

using membership::Fact;

struct Ping {
  std::uint32_t sequence = 0;
  std::string to;
  std::uint64_t digest = 0;
};
struct Ask {
  std::uint32_t sequence = 0;
  std::string to, address;
};
struct Ack {
  std::uint32_t sequence = 0;
  std::string of;
  std::uint64_t digest = 0;
  std::uint64_t start = 0;
};
struct Nack {
  std::uint32_t sequence = 0;
  std::string of;
};
struct Sync {
  std::vector<std::uint32_t> buckets;
  bool answer = false;
};
struct Facts {};
struct Payload {
  std::uint32_t topic = 0;
  std::string content;
};
using Body = std::variant<Facts, Ping, Ask, Ack, Nack, Sync, Payload>;

struct Packet {
  Fact sender;
  Body body;
  std::vector<Fact> facts;
};

enum class Fault { none, unreadable, version, field };

// With as many facts as fit into limits::plain_bytes, taken from the front; `told` says how many.
std::string encode(const Packet& packet, std::size_t* told = nullptr);
// A fact that is not valid is left out and counted; the rest of the packet stands.
Fault decode(std::string_view bytes, Packet& packet, std::uint64_t& left_out);
std::size_t size(const Fact& fact);  // bytes in a packet, at most

}  // namespace lemonroute::peers::wire
