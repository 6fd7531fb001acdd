// What routers say to each other about pools.
#include <gtest/gtest.h>

#include "formats/fixtures.h"
#include "pools/wire/wire.h"

namespace lemonroute::formats {
namespace {

namespace wire = pools::wire;

constexpr std::uint64_t mark = 0x5152535455565758;
constexpr std::size_t regions = 9;
// Times go as ages, which only differences of the clock are in.
constexpr Micros now = std::chrono::hours(5);
constexpr Micros age = std::chrono::milliseconds(61'234);

wire::PoolEntry moved_pool() {
  wire::PoolEntry entry;
  entry.pool.site = "nord";
  entry.pool.cell = 513;
  entry.ownership.ballot.counter = 70'001;
  entry.ownership.ballot.proposer_region = 3;
  entry.ownership.ballot.proposer_id = 0x6162636465666768;
  entry.ownership.owner = 5;
  entry.ownership.granted_at = now - age;
  entry.granted = true;
  return entry;
}

// A pool that has never moved has no ballot and no age.
wire::PoolEntry unmoved_pool() {
  wire::PoolEntry entry;
  entry.pool.site = "sud/2";
  entry.pool.cell = 1;
  entry.ownership.owner = 7;
  entry.granted_to_owner = true;
  return entry;
}

void expect_moved_pool(const wire::PoolEntry& entry) {
  EXPECT_EQ(entry.pool.site, "nord");
  EXPECT_EQ(entry.pool.cell, 513u);
  EXPECT_EQ(entry.ownership.ballot.counter, 70'001u);
  EXPECT_EQ(entry.ownership.ballot.proposer_region, 3u);
  EXPECT_EQ(entry.ownership.ballot.proposer_id, 0x6162636465666768u);
  EXPECT_EQ(entry.ownership.owner, 5u);
  EXPECT_EQ(entry.ownership.granted_at, now - age);
  EXPECT_TRUE(entry.granted);
  EXPECT_FALSE(entry.granted_to_owner);
}

void expect_unmoved_pool(const wire::PoolEntry& entry) {
  EXPECT_EQ(entry.pool.site, "sud/2");
  EXPECT_EQ(entry.pool.cell, 1u);
  EXPECT_EQ(entry.ownership.ballot, pools::Ballot{});
  EXPECT_EQ(entry.ownership.owner, 7u);
  EXPECT_EQ(entry.ownership.granted_at, Micros(0));
  EXPECT_FALSE(entry.granted);
  EXPECT_TRUE(entry.granted_to_owner);
}

// The message of a fixture, or one with no field set and a failure where it is of another kind.
template <class Kind>
Kind message_of(const std::string& fixture) {
  const wire::ReadResult read = wire::read(binary_fixture(fixture), mark, regions, now);
  const Kind* message = read.message ? std::get_if<Kind>(&*read.message) : nullptr;
  EXPECT_NE(message, nullptr) << "fault " << static_cast<int>(read.fault);
  return message ? *message : Kind{};
}

void expect_written(const wire::Message& message, const std::string& fixture) {
  const auto payloads = wire::write(message, mark, now);
  ASSERT_EQ(payloads.size(), 1u);
  EXPECT_EQ(hex_lines(payloads[0]), text_fixture(fixture));
}

TEST(Formats, ReadsBackAnAskForPools) {
  const auto ask = message_of<wire::LeaseRequest>("pools_ask.hex");

  EXPECT_EQ(ask.nonce, 0x7172737475767778u);
  EXPECT_EQ(ask.region, 4u);
  ASSERT_EQ(ask.pools.size(), 2u);
  expect_moved_pool(ask.pools[0]);
  expect_unmoved_pool(ask.pools[1]);
}

TEST(Formats, WritesAnAskForPoolsAsBefore) {
  wire::LeaseRequest ask;
  ask.nonce = 0x7172737475767778;
  ask.region = 4;
  ask.pools = {moved_pool(), unmoved_pool()};

  expect_written(ask, "pools_ask.hex");
}

TEST(Formats, ReadsBackAGrantOfPools) {
  const auto grant = message_of<wire::LeaseAnswer>("pools_grant.hex");

  EXPECT_EQ(grant.nonce, 0x8182838485868788u);
  EXPECT_TRUE(grant.abstains);
  ASSERT_EQ(grant.pools.size(), 2u);
  expect_unmoved_pool(grant.pools[0]);
  expect_moved_pool(grant.pools[1]);
}

TEST(Formats, WritesAGrantOfPoolsAsBefore) {
  wire::LeaseAnswer grant;
  grant.nonce = 0x8182838485868788;
  grant.abstains = true;
  grant.pools = {unmoved_pool(), moved_pool()};

  expect_written(grant, "pools_grant.hex");
}

TEST(Formats, ReadsBackAProposedMoveOfAPool) {
  const auto propose = message_of<wire::Proposal>("pools_propose.hex");

  expect_moved_pool(propose.pool);
}

TEST(Formats, WritesAProposedMoveOfAPoolAsBefore) {
  wire::Proposal propose;
  propose.pool = moved_pool();

  expect_written(propose, "pools_propose.hex");
}

TEST(Formats, ReadsBackADemandForWriters) {
  const auto demand = message_of<pools::DemandReport>("pools_demand.hex");

  EXPECT_EQ(demand.sequence, 90'001u);
  EXPECT_EQ(demand.decode_nodes, 12.345);
  EXPECT_EQ(demand.rejected_share, 0.067);
}

TEST(Formats, WritesADemandForWritersAsBefore) {
  pools::DemandReport demand;
  demand.sequence = 90'001;
  demand.decode_nodes = 12.345;
  demand.rejected_share = 0.067;

  expect_written(demand, "pools_demand.hex");
}

// Routers with other settings are not listened to.
TEST(Formats, ReadsTheMarkOfTheSettingsBack) {
  const wire::ReadResult read = wire::read(binary_fixture("pools_demand.hex"), mark + 1, regions, now);

  EXPECT_FALSE(read.message);
  EXPECT_EQ(read.fault, wire::ReadFault::settings_mismatch);
}

}  // namespace
}  // namespace lemonroute::formats
