// Tests of the parts of membership one by one, with tables of cases and random input.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "peers/extension.h"
#include "peers/membership/detector/probe_order.h"
#include "peers/membership/dissemination/broadcast_queue.h"
#include "peers/membership/merge/judge_claim.h"
#include "peers/membership/merge/own_identity.h"
#include "peers/membership/table.h"
#include "peers/wire/packet.h"

namespace lemonroute::peers::membership {
namespace {

using namespace std::chrono_literals;
constexpr Micros period = 1s;
constexpr std::uint64_t day_us = 86'400'000'000, start_us = 1'764'000'000'000'000;

Fact fact(std::string name, std::uint64_t incarnation = 0, Standing standing = Standing::alive,
          std::uint64_t start = start_us, std::string address = "10.0.0.1:1") {
  return {std::move(name), "north", std::move(address), start, incarnation, standing, "by"};
}

TEST(Judge, orders_facts_by_process_then_incarnation_then_standing) {
  using enum Standing;
  constexpr auto nothing = Verdict::ignore, refuted = Verdict::refuted, suspect = Verdict::suspect,
                 confirm = Verdict::confirm, hearsay = Verdict::gone_claim, newer = Verdict::newer_process,
                 older = Verdict::older_process, implausible = Verdict::implausible,
                 unknown = Verdict::add_member;
  const struct {
    Standing held;
    int incarnation_step;  // received incarnation minus the held one
    Standing received;
    Verdict verdict;
  } rows[] = {
      {alive, 0, alive, nothing},     {alive, 1, alive, refuted},         {suspected, 0, alive, nothing},
      {suspected, 1, alive, refuted}, {gone, 0, alive, nothing},          {gone, 1, alive, refuted},
      {left, 1, alive, refuted},      {alive, 0, suspected, suspect},     {alive, -1, suspected, nothing},
      {gone, 0, suspected, nothing},  {suspected, 0, suspected, confirm}, {suspected, 0, gone, confirm},
      {alive, 0, gone, hearsay},      {alive, 1, gone, hearsay},          {alive, -1, gone, nothing},
      {gone, 0, gone, nothing},       {alive, 0, left, Verdict::left},    {left, 0, left, nothing},
      {gone, 0, left, Verdict::left}, {alive, -1, left, nothing},
  };
  for (const auto& row : rows) {
    Entry held;
    held.fact = fact("a", 5, row.held);
    const auto received = fact("a", 5 + static_cast<std::uint64_t>(row.incarnation_step), row.received);
    EXPECT_EQ(judge_claim(&held, received, start_us), row.verdict)
        << int(row.held) << " held, " << int(row.received) << " received, incarnation "
        << row.incarnation_step << " later";
  }
  Entry held;
  held.fact = fact("a", 5);
  EXPECT_EQ(judge_claim(&held, fact("a", 0, alive, start_us + 1), start_us), newer);
  EXPECT_EQ(judge_claim(&held, fact("a", 9, left, start_us - 1), start_us), older);
  EXPECT_EQ(judge_claim(&held, fact("a", 0, alive, start_us, "10.0.0.2:1"), start_us), newer)
      << "equal start times are ordered by address";
  EXPECT_EQ(judge_claim(&held, fact("a", 0, alive, start_us + 2 * day_us), start_us), implausible);
  EXPECT_EQ(judge_claim(&held, fact("a", 0, alive, start_us + 2 * day_us), 0), newer)
      << "the local clock is wrong";
  EXPECT_EQ(judge_claim(nullptr, fact("a"), start_us), unknown);
  EXPECT_EQ(judge_claim(nullptr, fact("a", 0, gone), start_us), nothing)
      << "a gone member that was never present is not added";
}

TEST(Suspicion, grows_with_members_and_shortens_with_each_confirmation_down_to_the_minimum) {
  Micros previous{};
  for (const std::size_t members : {2u, 10u, 100u, 1000u}) {
    const Micros min_duration = min_suspicion_timeout(members, period);
    EXPECT_GE(min_duration, previous);
    previous = min_duration;
    Suspicion suspicion(10s, members, period, "first");
    Micros deadline = suspicion.deadline();
    EXPECT_EQ(deadline, 10s + min_duration * (members > 2 ? limits::max_suspicion_factor : 1));
    EXPECT_FALSE(suspicion.confirm("first"));
    for (int other = 0; other < 10; ++other) {
      suspicion.confirm(std::to_string(other));
      EXPECT_LE(suspicion.deadline(), deadline);
      deadline = suspicion.deadline();
    }
    EXPECT_EQ(deadline, 10s + min_duration);
  }
}

TEST(ProbeOrder, probes_each_member_once_a_round_in_a_new_random_order) {
  Table table(100);
  ProbeOrder order;
  Random random(7);
  std::string evicted;
  for (int at = 0; at < 20; ++at)
    order.add(*table.add(fact("c" + std::to_string(at)), 0s, &evicted), random);
  std::set<std::vector<std::string>> rounds;
  for (int round = 0; round < 5; ++round) {
    std::vector<std::string> names;
    for (int at = 0; at < 20; ++at)
      names.push_back(order.next(random)->fact.name);
    EXPECT_EQ(std::set<std::string>(names.begin(), names.end()).size(), 20u);
    rounds.insert(names);
  }
  EXPECT_EQ(rounds.size(), 5u);
  table.set_standing(*table.find("c3"), Standing::gone, "x", 0s);
  for (int at = 0; at < 60; ++at)
    EXPECT_NE(order.next(random)->fact.name, "c3");
}

TEST(BroadcastQueue, sends_each_fact_a_bounded_number_of_times_and_replaces_it_by_a_later_one) {
  Table table(1000);
  BroadcastQueue news;
  std::string evicted;
  std::map<std::string, std::size_t> sent;
  for (int at = 0; at < 200; ++at)
    news.add(*table.add(fact("c" + std::to_string(at)), 0s, &evicted));
  news.add(*table.find("c7"));
  for (int datagrams = 0; !news.empty(); ++datagrams) {
    ASSERT_LT(datagrams, 10'000);
    const auto& offer = news.offer(100);
    ASSERT_LE(offer.size(), limits::facts_per_offer);
    const std::size_t room = 5;
    for (std::size_t at = 0; at < std::min(room, offer.size()); ++at)
      ++sent[offer[at]->fact.name];
    news.mark_transmitted(std::min(room, offer.size()));
  }
  EXPECT_EQ(sent.size(), 200u);
  for (const auto& [name, times] : sent)
    EXPECT_EQ(times, BroadcastQueue::transmit_limit(100)) << name;
}

TEST(Table, is_bounded_and_its_digest_depends_on_present_members_in_any_order) {
  Table table(50), reversed(50);
  std::string evicted;
  for (int at = 0; at < 50; ++at)
    table.add(fact("c" + std::to_string(at)), 0s, &evicted);
  for (int at = 49; at >= 0; --at)
    reversed.add(fact("c" + std::to_string(at)), 0s, &evicted);
  EXPECT_EQ(table.digest(), reversed.digest());
  EXPECT_EQ(table.add(fact("more"), 0s, &evicted), nullptr);
  EXPECT_EQ(evicted, "") << "a present member is never evicted";
  table.set_standing(*table.find("c1"), Standing::suspected, "x", 0s);
  EXPECT_EQ(table.digest(), reversed.digest());
  table.set_standing(*table.find("c1"), Standing::gone, "x", 0s);
  EXPECT_NE(table.digest(), reversed.digest());
  EXPECT_EQ(table.add(fact("more"), 0s, &evicted), nullptr);
  EXPECT_EQ(evicted, "c1");
  table.remove("c1");
  EXPECT_EQ(table.live_count(), 49u);
  EXPECT_EQ(table.gone_count(), 0u);
}

TEST(OwnIdentity, refutes_yields_to_a_newer_process_that_is_heard_and_reclaims_an_unheld_name) {
  using Change = OwnIdentity::Change;
  OwnIdentity own(fact("a"), period);
  EXPECT_EQ(own.apply_claim(fact("a", 0, Standing::suspected), 0s, start_us), Change::refuted);
  EXPECT_EQ(own.fact().incarnation, 1u);
  EXPECT_EQ(own.apply_claim(fact("a", 0, Standing::gone), 0s, start_us), Change::nothing)
      << "already refuted";
  EXPECT_EQ(own.apply_claim(fact("a", limits::max_incarnation - 1, Standing::gone), 0s, start_us),
            Change::refuted);
  EXPECT_EQ(own.fact().start, start_us + 1) << "a later start time invalidates an incarnation near the limit";
  EXPECT_EQ(own.fact().incarnation, 0u);
  EXPECT_EQ(own.apply_claim(fact("a", 0, Standing::alive, start_us - 5), 0s, start_us), Change::nothing);
  EXPECT_EQ(own.apply_claim(fact("a", 0, Standing::alive, start_us + 2 * day_us, "10.0.0.9:1"), 0s, start_us),
            Change::nothing)
      << "an implausible start time is ignored";

  const auto newer = fact("a", 0, Standing::alive, start_us + 9, "10.0.0.2:1");
  EXPECT_EQ(own.apply_claim(newer, 0s, start_us), Change::superseded);
  EXPECT_EQ(own.check_reclaim(period * (limits::reclaim_name_periods - 1)), Change::nothing);
  EXPECT_EQ(own.check_reclaim(period * limits::reclaim_name_periods), Change::reclaimed)
      << "the newer process was never heard";
  EXPECT_EQ(own.fact().start, start_us + 10);

  const auto heard = fact("a", 0, Standing::alive, start_us + 20, "10.0.0.2:1");
  EXPECT_EQ(own.apply_claim(heard, 0s, start_us), Change::superseded);
  own.record_packet(heard, 1s);
  EXPECT_EQ(own.check_reclaim(1000s), Change::nothing);
  EXPECT_EQ(own.apply_claim(fact("a", 5, Standing::suspected), 0s, start_us), Change::nothing)
      << "a superseded process doesn't refute";
  auto left = heard;
  left.standing = Standing::left;
  EXPECT_EQ(own.apply_claim(left, 0s, start_us), Change::reclaimed);
}

wire::Packet packet_with(wire::Body body, std::size_t facts) {
  wire::Packet packet{fact("sender"), std::move(body), {}};
  for (std::size_t at = 0; at < facts; ++at)
    packet.facts.push_back(fact("c" + std::to_string(at), at, Standing::gone));
  return packet;
}

std::vector<wire::Body> bodies() {
  return {wire::Facts{},
          wire::Ping{7, "to", 99},
          wire::PingRequest{8, "to", "10.0.0.9:5"},
          wire::Ack{9, "of", 98},
          wire::Nack{10, "of"},
          wire::Sync{std::vector<std::uint32_t>(limits::digest_buckets, ~0u), true},
          wire::Payload{1, std::string(Outbox::max_payload_bytes, '\xff')}};
}

TEST(Wire, decodes_what_was_encoded_within_the_datagram_size) {
  for (const auto& body : bodies()) {
    std::size_t encoded_facts = 0;
    const auto bytes = wire::encode(packet_with(body, 100), &encoded_facts);
    EXPECT_LE(bytes.size(), limits::max_plain_bytes);
    wire::Packet decoded;
    std::uint64_t left_out = 0;
    ASSERT_EQ(wire::decode(bytes, decoded, left_out), wire::DecodeError::none);
    EXPECT_EQ(decoded.body.index(), body.index());
    EXPECT_EQ(decoded.facts.size(), encoded_facts);
    EXPECT_EQ(left_out, 0u);
  }
  // The longest name leaves room for the longest payload.
  wire::Packet longest{fact(std::string(limits::max_name_bytes, 'n'), limits::max_incarnation,
                            Standing::alive, limits::max_start_us),
                       wire::Payload{~0u, std::string(Outbox::max_payload_bytes, 'x')},
                       {}};
  longest.sender.site.clear();
  longest.sender.address.clear();
  EXPECT_LE(wire::encode(longest).size(), limits::max_plain_bytes);
}

TEST(Wire, corrupted_packets_decode_within_bounds_or_are_refused) {
  Random random(3);
  std::uint64_t left_out = 0;
  std::size_t refused = 0;
  for (int round = 0; round < 3000; ++round) {
    const auto body = bodies()[random.below(bodies().size())];
    auto bytes = wire::encode(packet_with(body, random.below(10)));
    for (auto flips = random.below(6); flips > 0; --flips)
      bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    if (random.below(4) == 0)
      bytes.resize(random.below(bytes.size()));
    wire::Packet decoded;
    if (wire::decode(bytes, decoded, left_out) != wire::DecodeError::none) {
      ++refused;
      continue;
    }
    EXPECT_TRUE(valid_name(decoded.sender.name));
    for (const auto& received : decoded.facts)
      EXPECT_TRUE(valid(received));
  }
  EXPECT_GT(refused, 0u);
  const auto good = wire::encode(packet_with(wire::Facts{}, 0));
  wire::Packet decoded;
  EXPECT_EQ(wire::decode("\x08\x02" + good.substr(2), decoded, left_out), wire::DecodeError::unknown_version);
  for (const auto& bad :
       {fact(""), fact("with blank"), fact(std::string(65, 'x')), fact("\xff\xfe"), fact("a", ~0ull),
        fact("a", 0, Standing::alive, ~0ull), fact("a", 0, Standing::alive, start_us, "nowhere"),
        fact("a", 0, Standing::alive, start_us, "host:70000"), fact("a", 0, static_cast<Standing>(9))}) {
    wire::Packet packet = packet_with(wire::Facts{}, 1);
    packet.facts.push_back(bad);
    left_out = 0;
    EXPECT_EQ(wire::decode(wire::encode(packet), decoded, left_out), wire::DecodeError::none);
    EXPECT_EQ(decoded.facts.size(), 1u);
    EXPECT_EQ(left_out, 1u) << bad.name << " " << bad.address;
  }
}

}  // namespace
}  // namespace lemonroute::peers::membership
