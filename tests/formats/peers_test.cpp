// The datagrams between routers: what is in each kind, and how one is sealed.
#include <gtest/gtest.h>

#include "formats/fixtures.h"
#include "peers/seal/seal.h"
#include "peers/wire/packet.h"

namespace lemonroute::formats {
namespace {

using peers::Standing;
namespace wire = peers::wire;
namespace seal = peers::seal;

constexpr std::uint64_t sender_start = 1764683700000001;

wire::Fact sender() {
  wire::Fact fact;
  fact.name = "router-a";
  fact.site = "nord";
  fact.address = "10.1.2.3:7946";
  fact.start = sender_start;
  fact.incarnation = 300;
  fact.standing = Standing::suspected;
  fact.reported_by = "router-h";
  return fact;
}

wire::Fact fact_of(const std::string& name, Standing standing) {
  wire::Fact fact = sender();
  fact.name = name;
  fact.site = "sud-" + name;
  fact.address = "[fd00::17]:7947";
  fact.start = 1764683712345678;
  fact.incarnation = 70'000;
  fact.standing = standing;
  fact.reported_by = "by-" + name;
  return fact;
}

// A packet of which the two facts cover the standings that its sender's does not have.
std::string packet_with(wire::Body body) {
  wire::Packet packet;
  packet.sender = sender();
  packet.body = std::move(body);
  packet.facts = {fact_of("router-b", Standing::gone), fact_of("router-c", Standing::left)};
  return wire::encode(packet);
}

wire::Packet packet_of(const std::string& fixture) {
  wire::Packet packet;
  std::uint64_t left_out = 0;
  EXPECT_EQ(wire::decode(binary_fixture(fixture), packet, left_out), wire::DecodeError::none);
  EXPECT_EQ(left_out, 0u);
  return packet;
}

void expect_fact(const wire::Fact& fact, const std::string& name, Standing standing) {
  EXPECT_EQ(fact.name, name);
  EXPECT_EQ(fact.site, "sud-" + name);
  EXPECT_EQ(fact.address, "[fd00::17]:7947");
  EXPECT_EQ(fact.start, 1764683712345678u);
  EXPECT_EQ(fact.incarnation, 70'000u);
  EXPECT_EQ(fact.standing, standing);
  EXPECT_EQ(fact.reported_by, "by-" + name);
}

// Whoever sends is there, whatever is written of its standing.
void expect_sender(const wire::Fact& sender) {
  EXPECT_EQ(sender.name, "router-a");
  EXPECT_EQ(sender.site, "nord");
  EXPECT_EQ(sender.address, "10.1.2.3:7946");
  EXPECT_EQ(sender.start, 1764683700000001u);
  EXPECT_EQ(sender.incarnation, 300u);
  EXPECT_EQ(sender.standing, Standing::alive);
  EXPECT_EQ(sender.reported_by, "");
}

// The body of a packet that has the sender and the facts of all fixtures, or one with no field set and a
// failure where it is of another kind.
template <class Kind>
Kind body_of(const std::string& fixture) {
  const wire::Packet packet = packet_of(fixture);
  expect_sender(packet.sender);
  EXPECT_EQ(packet.facts.size(), 2u);
  if (packet.facts.size() == 2) {
    expect_fact(packet.facts[0], "router-b", Standing::gone);
    expect_fact(packet.facts[1], "router-c", Standing::left);
  }
  const Kind* body = std::get_if<Kind>(&packet.body);
  EXPECT_NE(body, nullptr) << "of the kind " << packet.body.index();
  return body ? *body : Kind{};
}

void expect_written(const std::string& bytes, const std::string& fixture) {
  EXPECT_EQ(hex_lines(bytes), text_fixture(fixture));
}

// ---- each kind ----

TEST(Formats, ReadsBackAPing) {
  const auto ping = body_of<wire::Ping>("peers_ping.hex");

  EXPECT_EQ(ping.sequence, 71'001u);
  EXPECT_EQ(ping.target, "router-d");
  EXPECT_EQ(ping.digest, 0x1122334455667788u);
}

TEST(Formats, WritesAPingAsBefore) {
  wire::Ping ping;
  ping.sequence = 71'001;
  ping.target = "router-d";
  ping.digest = 0x1122334455667788;

  expect_written(packet_with(ping), "peers_ping.hex");
}

TEST(Formats, ReadsBackAPingRequest) {
  const auto ask = body_of<wire::PingRequest>("peers_ask.hex");

  EXPECT_EQ(ask.sequence, 71'002u);
  EXPECT_EQ(ask.target, "router-e");
  EXPECT_EQ(ask.address, "10.9.8.7:7948");
}

TEST(Formats, WritesAPingRequestAsBefore) {
  wire::PingRequest ask;
  ask.sequence = 71'002;
  ask.target = "router-e";
  ask.address = "10.9.8.7:7948";

  expect_written(packet_with(ask), "peers_ask.hex");
}

TEST(Formats, ReadsBackAnAck) {
  const auto ack = body_of<wire::Ack>("peers_ack.hex");

  EXPECT_EQ(ack.sequence, 71'003u);
  EXPECT_EQ(ack.target, "router-f");
  EXPECT_EQ(ack.digest, 0x99aabbccddeeff01u);
  EXPECT_EQ(ack.start, 1764683799999999u);
}

TEST(Formats, WritesAnAckAsBefore) {
  wire::Ack ack;
  ack.sequence = 71'003;
  ack.target = "router-f";
  ack.digest = 0x99aabbccddeeff01;
  ack.start = 1764683799999999;

  expect_written(packet_with(ack), "peers_ack.hex");
}

TEST(Formats, ReadsBackANack) {
  const auto nack = body_of<wire::Nack>("peers_nack.hex");

  EXPECT_EQ(nack.sequence, 71'004u);
  EXPECT_EQ(nack.target, "router-g");
}

TEST(Formats, WritesANackAsBefore) {
  wire::Nack nack;
  nack.sequence = 71'004;
  nack.target = "router-g";

  expect_written(packet_with(nack), "peers_nack.hex");
}

// Each bucket its own number, so that their order is seen.
std::vector<std::uint32_t> buckets() {
  std::vector<std::uint32_t> all;
  for (std::uint32_t i = 0; i < 64; ++i)
    all.push_back(0xa0b0c000 + i);
  return all;
}

TEST(Formats, ReadsBackASync) {
  const auto sync = body_of<wire::Sync>("peers_sync.hex");

  EXPECT_EQ(sync.buckets, buckets());
  EXPECT_TRUE(sync.is_reply);
}

TEST(Formats, WritesASyncAsBefore) {
  wire::Sync sync;
  sync.buckets = buckets();
  sync.is_reply = true;

  expect_written(packet_with(sync), "peers_sync.hex");
}

TEST(Formats, ReadsBackAPacketOfNothingButFacts) {
  body_of<wire::Facts>("peers_facts.hex");
}

TEST(Formats, WritesAPacketOfNothingButFactsAsBefore) {
  expect_written(packet_with(wire::Facts{}), "peers_facts.hex");
}

// As it is sent: its sender without site and address, and no facts.
TEST(Formats, ReadsBackAPayload) {
  const wire::Packet packet = packet_of("peers_payload.hex");

  EXPECT_EQ(packet.sender.name, "router-a");
  EXPECT_EQ(packet.sender.start, 1764683700000001u);
  EXPECT_EQ(packet.sender.incarnation, 300u);
  const auto* payload = std::get_if<wire::Payload>(&packet.body);
  ASSERT_NE(payload, nullptr);
  EXPECT_EQ(payload->topic, 2u);
  EXPECT_EQ(payload->content, std::string("content\0\xff of tiers", 18));
}

TEST(Formats, WritesAPayloadAsBefore) {
  wire::Payload payload;
  payload.topic = 2;
  payload.content = std::string("content\0\xff of tiers", 18);
  wire::Packet packet;
  packet.sender.name = "router-a";
  packet.sender.start = sender_start;
  packet.sender.incarnation = 300;
  packet.body = payload;

  expect_written(wire::encode(packet), "peers_payload.hex");
}

// ---- sealed ----

constexpr char plain[] = "what router-a says to router-b";
const seal::SenderId sealing_process{.tag = 0x0102030405060708, .start = sender_start};

// The bytes 1 to 32.
seal::Key shared_key() {
  std::array<unsigned char, seal::Key::size> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i)
    bytes[i] = static_cast<unsigned char>(i + 1);
  return seal::make_key(bytes);
}

TEST(Formats, OpensWhatWasSealed) {
  seal::Opener opener({shared_key()}, 4);
  seal::Refusal why{};

  const auto opened = opener.open(binary_fixture("peers_sealed.hex"), why);

  EXPECT_EQ(why, seal::Refusal::none);
  EXPECT_EQ(opened, plain);
}

// The nonce is the process and the number of the datagram, so the bytes are the same each time: here the
// third.
TEST(Formats, SealsAsBefore) {
  seal::Sealer sealer(shared_key(), sealing_process);
  sealer.seal("the first");
  sealer.seal("the second");

  expect_written(sealer.seal(plain), "peers_sealed.hex");
}

TEST(Formats, ReadsBackTheTextOfAKey) {
  const auto key = seal::parse_key(text_fixture("peers_key.txt"));

  const auto* parsed = std::get_if<seal::Key>(&key);
  ASSERT_NE(parsed, nullptr);
  EXPECT_EQ(parsed->bytes, shared_key().bytes);
  EXPECT_EQ(parsed->id, shared_key().id);
}

}  // namespace
}  // namespace lemonroute::formats
