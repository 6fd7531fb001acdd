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

void put(pb::Fact& out, const Fact& fact) {
  out.set_name(fact.name);
  out.set_site(fact.site);
  out.set_address(fact.address);
  out.set_start(fact.start);
  out.set_incarnation(fact.incarnation);
  out.set_standing(static_cast<pb::Standing>(fact.standing));
  out.set_by(fact.by);
}

bool take(const pb::Fact& in, Fact& fact) {
  if (in.standing() < pb::ALIVE || in.standing() > pb::LEFT)
    return false;
  if (in.name().size() > limits::name_bytes || in.by().size() > limits::name_bytes)
    return false;
  fact = {in.name(),  in.site(),        in.address(),
          in.start(), in.incarnation(), static_cast<Standing>(in.standing()),
          in.by()};
  return membership::valid(fact);
}

bool take(const pb::Packet& in, Body& body) {
  const auto named = [](const std::string& name) { return membership::valid_name(name); };
  switch (in.body_case()) {
    case pb::Packet::kPing:
      body = Ping{in.ping().sequence(), in.ping().to(), in.ping().digest()};
      return in.ping().to().empty() || named(in.ping().to());
    case pb::Packet::kAsk:
      body = Ask{in.ask().sequence(), in.ask().to(), in.ask().address()};
      return named(in.ask().to()) && membership::valid_address(in.ask().address());
    case pb::Packet::kAck:
      body = Ack{in.ack().sequence(), in.ack().of(), in.ack().digest(), in.ack().start()};
      return named(in.ack().of());
    case pb::Packet::kNack:
      body = Nack{in.nack().sequence(), in.nack().of()};
      return named(in.nack().of());
    case pb::Packet::kSync:
      body = Sync{{in.sync().buckets().begin(), in.sync().buckets().end()}, in.sync().answer()};
      return in.sync().buckets_size() == static_cast<int>(limits::buckets);
    case pb::Packet::kOnly:
      body = Facts{};
      return true;
    case pb::Packet::kPayload:
      body = Payload{in.payload().topic(), in.payload().content()};
      return in.payload().content().size() <= Outbox::most;
    case pb::Packet::BODY_NOT_SET:
      break;
  }
  return false;
}

void put(pb::Packet& out, const Body& body) {
  std::visit(Overload{[&](const Facts&) { out.mutable_only(); },
                      [&](const Ping& it) {
                        out.mutable_ping()->set_sequence(it.sequence);
                        out.mutable_ping()->set_to(it.to);
                        out.mutable_ping()->set_digest(it.digest);
                      },
                      [&](const Ask& it) {
                        out.mutable_ask()->set_sequence(it.sequence);
                        out.mutable_ask()->set_to(it.to);
                        out.mutable_ask()->set_address(it.address);
                      },
                      [&](const Ack& it) {
                        out.mutable_ack()->set_sequence(it.sequence);
                        out.mutable_ack()->set_of(it.of);
                        out.mutable_ack()->set_digest(it.digest);
                        out.mutable_ack()->set_start(it.start);
                      },
                      [&](const Nack& it) {
                        out.mutable_nack()->set_sequence(it.sequence);
                        out.mutable_nack()->set_of(it.of);
                      },
                      [&](const Sync& it) {
                        for (const auto one : it.buckets)
                          out.mutable_sync()->add_buckets(one);
                        out.mutable_sync()->set_answer(it.answer);
                      },
                      [&](const Payload& it) {
                        out.mutable_payload()->set_topic(it.topic);
                        out.mutable_payload()->set_content(it.content);
                      }},
             body);
}

}  // namespace

std::size_t size(
    const Fact& fact) {  // tags and lengths 2 each, numbers of 8 and 6 bytes at most, the standing 2
  return 2 + 8 + fact.name.size() + fact.site.size() + fact.address.size() + fact.by.size() + 9 + 6 + 2;
}

std::string encode(const Packet& packet, std::size_t* told) {
  google::protobuf::Arena arena;
  auto& out = *google::protobuf::Arena::CreateMessage<pb::Packet>(&arena);
  out.set_version(version);
  put(*out.mutable_sender(), packet.sender);
  put(out, packet.body);
  std::size_t used = out.ByteSizeLong(), count = 0;
  for (const auto& fact : packet.facts) {
    used += size(fact);
    if (used > limits::plain_bytes || count == limits::facts)
      break;
    put(*out.add_facts(), fact);
    ++count;
  }
  if (told)
    *told = count;
  return out.SerializeAsString();
}

Fault decode(std::string_view bytes, Packet& packet, std::uint64_t& left_out) {
  if (bytes.size() > limits::plain_bytes)
    return Fault::unreadable;
  google::protobuf::Arena arena;
  auto& in = *google::protobuf::Arena::CreateMessage<pb::Packet>(&arena);
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return Fault::unreadable;
  if (in.version() != version)
    return Fault::version;
  const bool payload = in.has_payload();  // says only who sends it: its content needs the room
  auto& sender = packet.sender;
  if (payload) {
    sender = {in.sender().name(), "", "", in.sender().start(), in.sender().incarnation(),
              Standing::alive,    ""};
    if (!membership::valid_name(sender.name))
      return Fault::field;
  } else if (!take(in.sender(), sender)) {
    return Fault::field;
  }
  sender.standing = Standing::alive;
  sender.by.clear();
  if (!take(in, packet.body))
    return Fault::field;
  packet.facts.clear();
  for (const auto& one : in.facts()) {
    Fact fact;
    if (packet.facts.size() < limits::facts && take(one, fact))
      packet.facts.push_back(std::move(fact));
    else
      ++left_out;
  }
  return Fault::none;
}

}  // namespace lemonroute::peers::wire
