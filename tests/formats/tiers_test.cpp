// What routers tell each other of kept state.
#include <gtest/gtest.h>

#include "formats/fixtures.h"
#include "tiers/wire/payload.h"

namespace lemonroute::formats {
namespace {

using tiers::AdvertisedHolder;
using tiers::CacheEntry;
using tiers::Payload;
using tiers::PayloadEncoder;
using tiers::PayloadKind;
using tiers::Tier;

constexpr std::uint64_t digest = 0x1112131415161718;
constexpr std::uint64_t first_device = 0x2122232425262728, second_device = 0x3132333435363738,
                        third_device = 0x4142434445464748;
constexpr std::uint64_t first_contributor = 0x5152535455565758, second_contributor = 0x6162636465666768;
// Times go as ages in tenths of a second, which only differences of the clock are in.
constexpr Micros now = std::chrono::hours(5);

tiers::VoteStamp stamp() {
  tiers::VoteStamp stamp;
  stamp.process_start = 1764683700000001;
  stamp.sequence = 70'001;
  return stamp;
}

tiers::CacheEpoch generation_of(std::uint64_t start, std::uint64_t lanes) {
  tiers::CacheEpoch generation;
  generation.start = start;
  generation.loss_counts = lanes;
  return generation;
}
const tiers::CacheEpoch first_generation = generation_of(1764683711111111, 0x0001000200030004);
const tiers::CacheEpoch second_generation = generation_of(1764683722222222, 0x0005000600070008);
const tiers::CacheEpoch third_generation = generation_of(1764683733333333, 0x0009000a000b000c);

AdvertisedHolder first_holder() {
  AdvertisedHolder holder;
  holder.device = first_device;
  holder.epoch = first_generation;
  holder.tokens = 70'123;
  holder.confidence = 201;
  holder.seen_at = now - std::chrono::milliseconds(70'200);
  holder.contributor = 0;
  holder.vote_count = 0;
  return holder;
}

AdvertisedHolder second_holder() {
  AdvertisedHolder holder;
  holder.device = second_device;
  holder.epoch = second_generation;
  holder.tokens = 3'456;
  holder.confidence = 99;
  holder.seen_at = now - std::chrono::milliseconds(300);
  holder.contributor = 0;
  holder.vote_count = 0;
  return holder;
}

AdvertisedHolder third_holder() {
  AdvertisedHolder holder;
  holder.device = third_device;
  holder.epoch = third_generation;
  holder.tokens = 17;
  holder.confidence = 5;
  holder.seen_at = now - std::chrono::milliseconds(1'100);
  holder.contributor = 0;
  holder.vote_count = 0;
  return holder;
}

// As a collector tells of it: with the contributor whose length it is, and with the votes.
AdvertisedHolder with_votes(AdvertisedHolder holder, std::uint64_t by, std::uint8_t votes) {
  holder.contributor = by;
  holder.vote_count = votes;
  return holder;
}

void expect_device_of(const AdvertisedHolder& holder, std::uint64_t device,
                      const tiers::CacheEpoch& generation) {
  EXPECT_EQ(holder.device, device);
  EXPECT_EQ(holder.epoch.start, generation.start);
  EXPECT_EQ(holder.epoch.loss_counts, generation.loss_counts);
}

void expect_first_holder(const AdvertisedHolder& holder) {
  expect_device_of(holder, first_device, first_generation);
  EXPECT_EQ(holder.tokens, 70'123u);
  EXPECT_EQ(holder.confidence, 201);
  EXPECT_EQ(holder.seen_at, now - std::chrono::milliseconds(70'200));
}

void expect_second_holder(const AdvertisedHolder& holder) {
  expect_device_of(holder, second_device, second_generation);
  EXPECT_EQ(holder.tokens, 3'456u);
  EXPECT_EQ(holder.confidence, 99);
  EXPECT_EQ(holder.seen_at, now - std::chrono::milliseconds(300));
}

void expect_third_holder(const AdvertisedHolder& holder) {
  expect_device_of(holder, third_device, third_generation);
  EXPECT_EQ(holder.tokens, 17u);
  EXPECT_EQ(holder.confidence, 5);
  EXPECT_EQ(holder.seen_at, now - std::chrono::milliseconds(1'100));
}

void expect_contributed(const AdvertisedHolder& holder, std::uint64_t by, int votes) {
  EXPECT_EQ(holder.contributor, by);
  EXPECT_EQ(holder.vote_count, votes);
}

// The payload of a fixture, or one with no field set and a failure where it can't be read.
Payload payload_of(const std::string& fixture) {
  const char* why = "";
  const auto payload = tiers::decode_payload(binary_fixture(fixture), now, why);
  EXPECT_TRUE(payload) << why;
  return payload.value_or(Payload{});
}

void expect_head(const Payload& payload, PayloadKind kind) {
  EXPECT_EQ(payload.kind, kind);
  EXPECT_EQ(payload.tier, Tier::region);
  EXPECT_EQ(payload.stamp.process_start, 1764683700000001u);
  EXPECT_EQ(payload.stamp.sequence, 70'001u);
  EXPECT_EQ(payload.digest, digest);
}

void expect_written(const PayloadEncoder& packer, const std::string& fixture) {
  EXPECT_EQ(hex_lines(packer.encode(digest)), text_fixture(fixture));
}

TEST(Formats, ReadsBackVotes) {
  const Payload votes = payload_of("tiers_votes.hex");

  expect_head(votes, PayloadKind::votes);
  ASSERT_EQ(votes.entries.size(), 2u);
  EXPECT_EQ(votes.entries[0].key, 0x7172737475767778u);
  EXPECT_EQ(votes.entries[0].weight, 250);
  ASSERT_EQ(votes.entries[0].holders.size(), 2u);
  expect_first_holder(votes.entries[0].holders[0]);
  expect_second_holder(votes.entries[0].holders[1]);
  expect_contributed(votes.entries[0].holders[1], 0, 0);
}

TEST(Formats, ReadsBackAVoteThatIsTakenBack) {
  const Payload votes = payload_of("tiers_votes.hex");

  ASSERT_EQ(votes.entries.size(), 2u);
  EXPECT_EQ(votes.entries[1].key, 0x8182838485868788u);
  EXPECT_EQ(votes.entries[1].weight, 9);
  EXPECT_TRUE(votes.entries[1].holders.empty());
}

TEST(Formats, WritesVotesAsBefore) {
  CacheEntry line, taken_back;
  line.key = 0x7172737475767778;
  line.weight = 250;
  line.holders = {first_holder(), second_holder()};
  taken_back.key = 0x8182838485868788;
  taken_back.weight = 9;
  PayloadEncoder packer(PayloadKind::votes, Tier::region, stamp());

  ASSERT_TRUE(packer.add(line, now));
  ASSERT_TRUE(packer.add(taken_back, now));

  expect_written(packer, "tiers_votes.hex");
}

TEST(Formats, ReadsBackRows) {
  const Payload rows = payload_of("tiers_rows.hex");

  expect_head(rows, PayloadKind::entries);
  ASSERT_EQ(rows.entries.size(), 2u);
  EXPECT_EQ(rows.entries[0].key, 0x7172737475767778u);
  EXPECT_EQ(rows.entries[0].weight, 131);
  EXPECT_EQ(rows.entries[1].key, 0x9192939495969798u);
  EXPECT_EQ(rows.entries[1].weight, 77);
}

TEST(Formats, ReadsBackTheHoldersOfRows) {
  const Payload rows = payload_of("tiers_rows.hex");

  ASSERT_EQ(rows.entries.size(), 2u);
  const auto &holders = rows.entries[0].holders, &other_holders = rows.entries[1].holders;
  ASSERT_EQ(holders.size(), 3u);
  expect_first_holder(holders[0]);
  expect_contributed(holders[0], first_contributor, 4);
  expect_second_holder(holders[1]);
  expect_contributed(holders[1], second_contributor, 2);
  expect_third_holder(holders[2]);
  expect_contributed(holders[2], first_contributor, 1);
  ASSERT_EQ(other_holders.size(), 1u);
  expect_second_holder(other_holders[0]);
  expect_contributed(other_holders[0], second_contributor, 3);
}

TEST(Formats, WritesRowsAsBefore) {
  CacheEntry line, other;
  line.key = 0x7172737475767778;
  line.weight = 131;
  line.holders = {with_votes(first_holder(), first_contributor, 4),
                  with_votes(second_holder(), second_contributor, 2),
                  with_votes(third_holder(), first_contributor, 1)};
  other.key = 0x9192939495969798;
  other.weight = 77;
  other.holders = {with_votes(second_holder(), second_contributor, 3)};
  PayloadEncoder packer(PayloadKind::entries, Tier::region, stamp());

  ASSERT_TRUE(packer.add(line, now));
  ASSERT_TRUE(packer.add(other, now));

  expect_written(packer, "tiers_rows.hex");
}

TEST(Formats, ReadsBackGenerations) {
  const Payload generations = payload_of("tiers_generations.hex");

  expect_head(generations, PayloadKind::epochs);
  ASSERT_EQ(generations.device_epochs.size(), 2u);
  EXPECT_EQ(generations.device_epochs[0].first, first_device);
  EXPECT_EQ(generations.device_epochs[0].second.start, 1764683711111111u);
  EXPECT_EQ(generations.device_epochs[0].second.loss_counts, 0x0001000200030004u);
  EXPECT_EQ(generations.device_epochs[1].first, third_device);
  EXPECT_EQ(generations.device_epochs[1].second.start, 1764683733333333u);
  EXPECT_EQ(generations.device_epochs[1].second.loss_counts, 0x0009000a000b000cu);
}

TEST(Formats, WritesGenerationsAsBefore) {
  PayloadEncoder packer(PayloadKind::epochs, Tier::region, stamp());

  ASSERT_TRUE(packer.add(first_device, first_generation));
  ASSERT_TRUE(packer.add(third_device, third_generation));

  expect_written(packer, "tiers_generations.hex");
}

TEST(Formats, ReadsBackADigestOfGenerations) {
  const Payload payload = payload_of("tiers_digest.hex");

  expect_head(payload, PayloadKind::digest);
}

TEST(Formats, WritesADigestOfGenerationsAsBefore) {
  expect_written(PayloadEncoder(PayloadKind::digest, Tier::region, stamp()), "tiers_digest.hex");
}

TEST(Formats, ReadsBackAnAskForRows) {
  const Payload payload = payload_of("tiers_ask.hex");

  expect_head(payload, PayloadKind::entries_request);
}

TEST(Formats, WritesAnAskForRowsAsBefore) {
  expect_written(PayloadEncoder(PayloadKind::entries_request, Tier::region, stamp()), "tiers_ask.hex");
}

}  // namespace
}  // namespace lemonroute::formats
