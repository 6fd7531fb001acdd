// The decisions of membership one by one: tables and properties.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "peers/extension.h"
#include "peers/membership/detector/probe_order.h"
#include "peers/membership/dissemination/news.h"
#include "peers/membership/merge/judge.h"
#include "peers/membership/merge/own_name.h"
#include "peers/membership/table.h"
#include "peers/wire/packet.h"

namespace lemonroute::peers::membership {
namespace {

using namespace std::chrono_literals;
constexpr Micros period = 1s;
constexpr std::uint64_t day = 86'400'000'000, noon = 1'764'000'000'000'000;

Fact fact(std::string name, std::uint64_t incarnation = 0, Standing standing = Standing::alive,
          std::uint64_t start = noon, std::string address = "10.0.0.1:1") {
  return {std::move(name), "north", std::move(address), start, incarnation, standing, "by"};
}

TEST(Judge, sayings_are_ordered_by_process_then_incarnation_then_standing) {
  using enum Standing;
  constexpr auto nothing = Verdict::nothing, refuted = Verdict::refuted, suspect = Verdict::suspect,
                 confirm = Verdict::confirm, hearsay = Verdict::hearsay, newer = Verdict::newer,
                 older = Verdict::older, implausible = Verdict::implausible, unknown = Verdict::unknown;
  const struct {
    Standing held;
    int later;  // the incarnation said less the one held
    Standing said;
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
    const auto said = fact("a", 5 + static_cast<std::uint64_t>(row.later), row.said);
    EXPECT_EQ(judge(&held, said, noon), row.verdict)
        << int(row.held) << " held, " << int(row.said) << " said of " << row.later << " later";
  }
  Entry held;
  held.fact = fact("a", 5);
  EXPECT_EQ(judge(&held, fact("a", 0, alive, noon + 1), noon), newer);
  EXPECT_EQ(judge(&held, fact("a", 9, left, noon - 1), noon), older);
  EXPECT_EQ(judge(&held, fact("a", 0, alive, noon, "10.0.0.2:1"), noon), newer)
      << "a tie is broken by address";
  EXPECT_EQ(judge(&held, fact("a", 0, alive, noon + 2 * day), noon), implausible);
  EXPECT_EQ(judge(&held, fact("a", 0, alive, noon + 2 * day), 0), newer) << "it is this clock that is wrong";
  EXPECT_EQ(judge(nullptr, fact("a"), noon), unknown);
  EXPECT_EQ(judge(nullptr, fact("a", 0, gone), noon), nothing) << "one who never was there is not remembered";
}

TEST(Suspicion, grows_with_the_members_and_shortens_with_each_other_word_but_not_below_the_least) {
  Micros before{};
  for (const std::size_t members : {2u, 10u, 100u, 1000u}) {
    const Micros least = least_suspicion(members, period);
    EXPECT_GE(least, before);
    before = least;
    Suspicion suspicion(10s, members, period, "first");
    Micros deadline = suspicion.deadline();
    EXPECT_EQ(deadline, 10s + least * (members > 2 ? limits::suspicion_most : 1));
    EXPECT_FALSE(suspicion.confirm("first"));
    for (int other = 0; other < 10; ++other) {
      suspicion.confirm(std::to_string(other));
      EXPECT_LE(suspicion.deadline(), deadline);
      deadline = suspicion.deadline();
    }
    EXPECT_EQ(deadline, 10s + least);
  }
}

TEST(ProbeOrder, each_is_probed_once_in_a_round_and_the_order_is_drawn_anew) {
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
  table.mark(*table.find("c3"), Standing::gone, "x", 0s);
  for (int at = 0; at < 60; ++at)
    EXPECT_NE(order.next(random)->fact.name, "c3");
}

TEST(News, each_is_told_a_bounded_number_of_times_and_a_later_one_replaces_it) {
  Table table(1000);
  News news;
  std::string evicted;
  std::map<std::string, std::size_t> told;
  for (int at = 0; at < 200; ++at)
    news.add(*table.add(fact("c" + std::to_string(at)), 0s, &evicted));
  news.add(*table.find("c7"));
  for (int datagrams = 0; !news.empty(); ++datagrams) {
    ASSERT_LT(datagrams, 10'000);
    const auto& offer = news.next(100);
    ASSERT_LE(offer.size(), limits::offered);
    const std::size_t room = 5;
    for (std::size_t at = 0; at < std::min(room, offer.size()); ++at)
      ++told[offer[at]->fact.name];
    news.told(std::min(room, offer.size()));
  }
  EXPECT_EQ(told.size(), 200u);
  for (const auto& [name, times] : told)
    EXPECT_EQ(times, News::times(100)) << name;
}

TEST(Table, is_bounded_and_its_digest_says_who_is_there_whatever_the_order) {
  Table one(50), other(50);
  std::string evicted;
  for (int at = 0; at < 50; ++at)
    one.add(fact("c" + std::to_string(at)), 0s, &evicted);
  for (int at = 49; at >= 0; --at)
    other.add(fact("c" + std::to_string(at)), 0s, &evicted);
  EXPECT_EQ(one.digest(), other.digest());
  EXPECT_EQ(one.add(fact("more"), 0s, &evicted), nullptr);
  EXPECT_EQ(evicted, "") << "nobody who is there makes room";
  one.mark(*one.find("c1"), Standing::suspected, "x", 0s);
  EXPECT_EQ(one.digest(), other.digest());
  one.mark(*one.find("c1"), Standing::gone, "x", 0s);
  EXPECT_NE(one.digest(), other.digest());
  EXPECT_EQ(one.add(fact("more"), 0s, &evicted), nullptr);
  EXPECT_EQ(evicted, "c1");
  one.forget("c1");
  EXPECT_EQ(one.there(), 49u);
  EXPECT_EQ(one.gone(), 0u);
}

TEST(OwnName, refutes_yields_to_a_newer_process_that_is_heard_and_takes_back_a_name_that_nobody_holds) {
  using Then = OwnName::Then;
  OwnName own(fact("a"), period);
  EXPECT_EQ(own.told(fact("a", 0, Standing::suspected), 0s, noon), Then::refuted);
  EXPECT_EQ(own.own().incarnation, 1u);
  EXPECT_EQ(own.told(fact("a", 0, Standing::gone), 0s, noon), Then::nothing) << "that was refuted";
  EXPECT_EQ(own.told(fact("a", limits::incarnation - 1, Standing::gone), 0s, noon), Then::refuted);
  EXPECT_EQ(own.own().start, noon + 1) << "a start voids an absurd incarnation";
  EXPECT_EQ(own.own().incarnation, 0u);
  EXPECT_EQ(own.told(fact("a", 0, Standing::alive, noon - 5), 0s, noon), Then::nothing);
  EXPECT_EQ(own.told(fact("a", 0, Standing::alive, noon + 2 * day, "10.0.0.9:1"), 0s, noon), Then::nothing)
      << "not believed";

  const auto newer = fact("a", 0, Standing::alive, noon + 9, "10.0.0.2:1");
  EXPECT_EQ(own.told(newer, 0s, noon), Then::superseded);
  EXPECT_EQ(own.check(period * (limits::claim - 1)), Then::nothing);
  EXPECT_EQ(own.check(period * limits::claim), Then::reclaimed) << "it was never heard";
  EXPECT_EQ(own.own().start, noon + 10);

  const auto heard = fact("a", 0, Standing::alive, noon + 20, "10.0.0.2:1");
  EXPECT_EQ(own.told(heard, 0s, noon), Then::superseded);
  own.heard(heard, 1s);
  EXPECT_EQ(own.check(1000s), Then::nothing);
  EXPECT_EQ(own.told(fact("a", 5, Standing::suspected), 0s, noon), Then::nothing) << "quiet about itself";
  auto ended = heard;
  ended.standing = Standing::left;
  EXPECT_EQ(own.told(ended, 0s, noon), Then::reclaimed);
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
          wire::Ask{8, "to", "10.0.0.9:5"},
          wire::Ack{9, "of", 98},
          wire::Nack{10, "of"},
          wire::Sync{std::vector<std::uint32_t>(limits::buckets, ~0u), true},
          wire::Payload{1, std::string(Outbox::most, '\xff')}};
}

TEST(Wire, what_is_written_is_read_and_never_longer_than_a_datagram) {
  for (const auto& body : bodies()) {
    std::size_t told = 0;
    const auto bytes = wire::encode(packet_with(body, 100), &told);
    EXPECT_LE(bytes.size(), limits::plain_bytes);
    wire::Packet read;
    std::uint64_t left_out = 0;
    ASSERT_EQ(wire::decode(bytes, read, left_out), wire::Fault::none);
    EXPECT_EQ(read.body.index(), body.index());
    EXPECT_EQ(read.facts.size(), told);
    EXPECT_EQ(left_out, 0u);
  }
  // The longest names there are still leave room for the longest payload.
  wire::Packet longest{
      fact(std::string(limits::name_bytes, 'n'), limits::incarnation, Standing::alive, limits::start),
      wire::Payload{~0u, std::string(Outbox::most, 'x')},
      {}};
  longest.sender.site.clear();
  longest.sender.address.clear();
  EXPECT_LE(wire::encode(longest).size(), limits::plain_bytes);
}

TEST(Wire, whatever_comes_is_within_its_bounds_or_refused) {
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
    wire::Packet read;
    if (wire::decode(bytes, read, left_out) != wire::Fault::none) {
      ++refused;
      continue;
    }
    EXPECT_TRUE(valid_name(read.sender.name));
    for (const auto& one : read.facts)
      EXPECT_TRUE(valid(one));
  }
  EXPECT_GT(refused, 0u);
  const auto good = wire::encode(packet_with(wire::Facts{}, 0));
  wire::Packet read;
  EXPECT_EQ(wire::decode("\x08\x02" + good.substr(2), read, left_out), wire::Fault::version);
  for (const auto& bad :
       {fact(""), fact("with blank"), fact(std::string(65, 'x')), fact("\xff\xfe"), fact("a", ~0ull),
        fact("a", 0, Standing::alive, ~0ull), fact("a", 0, Standing::alive, noon, "nowhere"),
        fact("a", 0, Standing::alive, noon, "host:70000"), fact("a", 0, static_cast<Standing>(9))}) {
    wire::Packet packet = packet_with(wire::Facts{}, 1);
    packet.facts.push_back(bad);
    left_out = 0;
    EXPECT_EQ(wire::decode(wire::encode(packet), read, left_out), wire::Fault::none);
    EXPECT_EQ(read.facts.size(), 1u);
    EXPECT_EQ(left_out, 1u) << bad.name << " " << bad.address;
  }
}

}  // namespace
}  // namespace lemonroute::peers::membership
