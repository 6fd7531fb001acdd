#include "peers/wire/packet.h"

#include <google/protobuf/arena.h>

#include "peers/extension.h"
#include "peers/membership/limits.h"
#include "proto/peers.pb.h"

namespace lemonroute::peers::wire {
namespace {

namespace pb = lemonroute::peers::v1;
namespace limits = membership::limits;
constexpr std::uint32_t version = 1;

template <class... F>
struct Overload : F... {
  using F::operator()...;
};
template <class... F>
Overload(F...) -> Overload<F...>;

void to_proto(pb::Fact& out, const Fact& fact) {
  out.set_name(fact.name);
  out.set_site(fact.site);
  out.set_address(fact.address);
  out.set_start(fact.start);
  out.set_incarnation(fact.incarnation);
  out.set_standing(static_cast<pb::Standing>(fact.standing));
  out.set_by(fact.reported_by);
}

bool from_proto(const pb::Fact& in, Fact& fact) {
  if (in.standing() < pb::ALIVE || in.standing() > pb::LEFT)
    return false;
  if (in.name().size() > limits::max_name_bytes || in.by().size() > limits::max_name_bytes)
    return false;
  fact = {in.name(),  in.site(),        in.address(),
          in.start(), in.incarnation(), static_cast<Standing>(in.standing()),
          in.by()};
  return membership::valid(fact);
}

bool from_proto(const pb::Packet& in, Body& body) {
  const auto is_valid_name = [](const std::string& name) { return membership::valid_name(name); };
  switch (in.body_case()) {
    case pb::Packet::kPing:
      body = Ping{in.ping().sequence(), in.ping().to(), in.ping().digest()};
      return in.ping().to().empty() || is_valid_name(in.ping().to());
    case pb::Packet::kAsk:
      body = PingRequest{in.ask().sequence(), in.ask().to(), in.ask().address()};
      return is_valid_name(in.ask().to()) && membership::valid_address(in.ask().address());
    case pb::Packet::kAck:
      body = Ack{in.ack().sequence(), in.ack().of(), in.ack().digest(), in.ack().start()};
      return is_valid_name(in.ack().of());
    case pb::Packet::kNack:
      body = Nack{in.nack().sequence(), in.nack().of()};
      return is_valid_name(in.nack().of());
    case pb::Packet::kSync:
      body = Sync{{in.sync().buckets().begin(), in.sync().buckets().end()}, in.sync().answer()};
      return in.sync().buckets_size() == static_cast<int>(limits::digest_buckets);
    case pb::Packet::kOnly:
      body = Facts{};
      return true;
    case pb::Packet::kPayload:
      body = Payload{in.payload().topic(), in.payload().content()};
      return in.payload().content().size() <= Outbox::max_payload_bytes;
    case pb::Packet::BODY_NOT_SET:
      break;
  }
  return false;
}

void to_proto(pb::Packet& out, const Body& body) {
  std::visit(Overload{[&](const Facts&) { out.mutable_only(); },
                      [&](const Ping& message) {
                        out.mutable_ping()->set_sequence(message.sequence);
                        out.mutable_ping()->set_to(message.target);
                        out.mutable_ping()->set_digest(message.digest);
                      },
                      [&](const PingRequest& message) {
                        out.mutable_ask()->set_sequence(message.sequence);
                        out.mutable_ask()->set_to(message.target);
                        out.mutable_ask()->set_address(message.address);
                      },
                      [&](const Ack& message) {
                        out.mutable_ack()->set_sequence(message.sequence);
                        out.mutable_ack()->set_of(message.target);
                        out.mutable_ack()->set_digest(message.digest);
                        out.mutable_ack()->set_start(message.start);
                      },
                      [&](const Nack& message) {
                        out.mutable_nack()->set_sequence(message.sequence);
                        out.mutable_nack()->set_of(message.target);
                      },
                      [&](const Sync& message) {
                        for (const auto one : message.buckets)
                          out.mutable_sync()->add_buckets(one);
                        out.mutable_sync()->set_answer(message.is_reply);
                      },
                      [&](const Payload& message) {
                        out.mutable_payload()->set_topic(message.topic);
                        out.mutable_payload()->set_content(message.content);
                      }},
             body);
}

}  // namespace

// Tag and length take 2 bytes for the fact and for each text. With their tags, start and incarnation take up
// to 9 and 6 bytes, and the standing takes 2.
std::size_t max_encoded_bytes(const Fact& fact) {
  return 2 + 8 + fact.name.size() + fact.site.size() + fact.address.size() + fact.reported_by.size() + 9 + 6 +
         2;
}

std::string encode(const Packet& packet, std::size_t* facts_encoded) {
  google::protobuf::Arena arena;
  auto& out = *google::protobuf::Arena::CreateMessage<pb::Packet>(&arena);
  out.set_version(version);
  to_proto(*out.mutable_sender(), packet.sender);
  to_proto(out, packet.body);
  std::size_t used = out.ByteSizeLong(), count = 0;
  for (const auto& fact : packet.facts) {
    used += max_encoded_bytes(fact);
    if (used > limits::max_plain_bytes || count == limits::max_facts)
      break;
    to_proto(*out.add_facts(), fact);
    ++count;
  }
  if (facts_encoded)
    *facts_encoded = count;
  return out.SerializeAsString();
}

DecodeError decode(std::string_view bytes, Packet& packet, std::uint64_t& facts_left_out) {
  if (bytes.size() > limits::max_plain_bytes)
    return DecodeError::unreadable;
  google::protobuf::Arena arena;
  auto& in = *google::protobuf::Arena::CreateMessage<pb::Packet>(&arena);
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return DecodeError::unreadable;
  if (in.version() != version)
    return DecodeError::unknown_version;
  const bool payload = in.has_payload();  // its sender has no site or address, to leave room for the content
  auto& sender = packet.sender;
  if (payload) {
    sender = {in.sender().name(), "", "", in.sender().start(), in.sender().incarnation(),
              Standing::alive,    ""};
    if (!membership::valid_name(sender.name))
      return DecodeError::bad_field;
  } else if (!from_proto(in.sender(), sender)) {
    return DecodeError::bad_field;
  }
  sender.standing = Standing::alive;
  sender.reported_by.clear();
  if (!from_proto(in, packet.body))
    return DecodeError::bad_field;
  packet.facts.clear();
  for (const auto& one : in.facts()) {
    Fact fact;
    if (packet.facts.size() < limits::max_facts && from_proto(one, fact))
      packet.facts.push_back(std::move(fact));
    else
      ++facts_left_out;
  }
  return DecodeError::none;
}

}  // namespace lemonroute::peers::wire
