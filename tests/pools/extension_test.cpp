#include "pools/extension.h"

#include <gtest/gtest.h>

#include "world.h"

namespace lemonroute::pools {
namespace {

using namespace std::chrono_literals;
using test::World;
using Senders = std::map<std::string, int>;

Settings corrected() {
  Settings s = test::two_regions();
  s.correction = 0.2;
  return s;
}
// What is wanted is changed by demand, with the calendar flat.
void ask_for(World& world, double north, double south) {
  for (auto& one : world.processes) {
    if (!one->pools)
      continue;
    const double writers = (one->site == "n" ? north : south) / 3 * world.settings.fill;
    NodeObserver::Demand demand;
    demand.own_load = writers / 4;
    demand.decode_nodes = 4;
    demand.accepted_requests = 10;
    one->pools->on_demand(demand, one->local());
  }
}
void drive(World& world, Micros from, Micros until, double north, double south) {
  for (Micros at = from; at < until; at += std::chrono::seconds(1))
    world.at(at, [&world, north, south] { ask_for(world, north, south); });
}
World::Process* planner(World& world, const std::string& region) {
  for (auto& one : world.processes)
    if (one->pools && one->name.starts_with(region) && one->pools->describe(one->local())["plans"] == true)
      return one.get();
  return nullptr;
}

TEST(Pools, MoveWithDemandAndComeHome) {
  const Settings settings = corrected();
  World world(settings, 1);
  drive(world, 0s, 30s, 12, 12);
  drive(world, 30s, 120s, 6, 16);
  drive(world, 120s, 300s, 12, 8);
  const PoolName lent{"n", 1}, stays{"n", 2};
  world.run(1s);
  EXPECT_TRUE(world.senders(lent).empty());                     // keepers abstain at first
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));  // the reserve needs no right
  world.run(29s);
  EXPECT_EQ(world.senders(lent), (Senders{{"north", 3}}));
  std::uint64_t version = world.processes[0]->pools->version();
  world.run(110s);
  EXPECT_GT(world.processes[0]->pools->version(), version);
  EXPECT_EQ(world.senders(lent), (Senders{{"south", 3}}));
  EXPECT_EQ(world.senders(stays), (Senders{{"north", 3}}));
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));
  // It started once, at one time for all of the region's routers but for what a question takes.
  std::vector<Micros> started;
  for (auto& one : world.processes)
    if (one->site == "s")
      started.push_back(one->pools->rights()->overlay(test::node("n", 1, 0)).started_at - one->skew);
  for (const Micros at : started) {
    EXPECT_GT(at, World::base + 30s);
    EXPECT_LT(at - started[0] < 0s ? started[0] - at : at - started[0], 1500ms);
  }
  const auto told = world.processes[0]->pools->describe(world.processes[0]->local());
  EXPECT_EQ(told["pools"][1]["owner"], "south");
  EXPECT_EQ(told["pools"][1]["state"], "serving");
  EXPECT_EQ(told["pools"][1]["epoch"], 1);
  world.run(119s);
  for (std::size_t i = 0; i < started.size(); ++i)
    EXPECT_EQ(world.processes[3 + i]->pools->rights()->overlay(test::node("n", 1, 0)).started_at -
                  world.processes[3 + i]->skew,
              started[i]);
  world.run(300s);
  EXPECT_EQ(world.senders(lent), (Senders{{"north", 3}}));
  EXPECT_EQ(world.broken, "");
}

TEST(Pools, ReadersAndOtherSitesAreLeftAlone) {
  World world(test::two_regions(), 2);
  world.run(10s);
  const auto rights = world.processes[0]->pools->rights();
  EXPECT_FALSE(rights->overlay(test::node("s", 1, 0, "reader")).drained);
  EXPECT_FALSE(rights->overlay(test::node("elsewhere", 1, 0)).drained);
  EXPECT_TRUE(rights->overlay(test::node("s", 1, 0)).drained);
  EXPECT_TRUE(rights->overlay(test::node("s", 0, 0)).drained);   // another region's reserve
  EXPECT_TRUE(rights->overlay(test::node("n", 77, 0)).drained);  // a pool that was just listed
  EXPECT_EQ(rights->overlay(test::node("n", 0, 0)).expires_at, Micros::max());
  EXPECT_LT(rights->overlay(test::node("n", 1, 0)).expires_at, Micros::max());
}

// A region that is cut off keeps its own, and gets back what it had lent; the borrower stops in time.
TEST(Pools, CutOff) {
  const Settings settings = corrected();
  World world(settings, 3);
  drive(world, 0s, 200s, 6, 16);
  const PoolName lent{"n", 1};
  world.run(60s);
  ASSERT_EQ(world.senders(lent), (Senders{{"south", 3}}));
  world.linked = [](auto& a, auto& b) { return a.site == b.site; };
  world.run(60s + settings.terms.lease);
  EXPECT_TRUE(world.senders(lent).empty());
  EXPECT_EQ(world.senders({"s", 1}), (Senders{{"south", 3}}));
  EXPECT_EQ(world.senders({"n", 2}), (Senders{{"north", 3}}));
  world.run(60s + 8 * settings.terms.lease);
  EXPECT_EQ(world.senders(lent), (Senders{{"north", 3}}));
  EXPECT_EQ(world.broken, "");
}

enum class Trouble {
  proposer_crashes,
  proposer_freezes,
  keepers_restart,
  all_restart,
  cut,
  cut_one_way,
  loss
};
class Interrupted : public testing::TestWithParam<Trouble> {};
INSTANTIATE_TEST_SUITE_P(Moves, Interrupted,
                         testing::Values(Trouble::proposer_crashes, Trouble::proposer_freezes,
                                         Trouble::keepers_restart, Trouble::all_restart, Trouble::cut,
                                         Trouble::cut_one_way, Trouble::loss));

// Trouble for 10 s, begun at every 400 ms from before the plan until the pool serves: never two regions, and
// within eight leases of the end of it one region has the pool, on all of its routers.
TEST_P(Interrupted, EndsOrIsUndone) {
  const Trouble trouble = GetParam();
  std::set<std::string> begun_in;
  for (Micros offset = 0s; offset < 16s; offset += 400ms) {
    const Settings settings = corrected();
    World world(settings, 100 + static_cast<std::uint64_t>(offset.count()));
    drive(world, 0s, 20s, 12, 12);
    drive(world, 20s, 200s, 6, 16);
    const Micros begin = 34s + offset, end = begin + 10s;
    world.run(begin);
    auto* first = planner(world, "north");
    ASSERT_TRUE(first);
    begun_in.insert(first->pools->describe(first->local())["pools"][1]["state"]);
    switch (trouble) {
      case Trouble::proposer_crashes:
        world.crash(*first);
        break;
      case Trouble::proposer_freezes:
        first->frozen_until = end;
        break;
      case Trouble::keepers_restart:
        for (int k = 0; k < 3; ++k)
          world.crash(*world.processes[k]), world.begin(*world.processes[k]);
        break;
      case Trouble::all_restart:
        for (auto& one : world.processes)
          world.crash(*one), world.begin(*one);
        break;
      case Trouble::cut:
        world.linked = [](auto& a, auto& b) { return a.site == b.site; };
        break;
      case Trouble::cut_one_way:
        world.linked = [](auto& a, auto& b) { return a.site == b.site || a.site == "n"; };
        break;
      case Trouble::loss:
        world.loss = 0.5;
        break;
    }
    world.run(end);
    if (trouble == Trouble::proposer_crashes)
      world.begin(*first);
    world.linked = [](auto&, auto&) { return true; };
    world.loss = 0;
    world.run(end + 8 * settings.terms.lease);
    ASSERT_EQ(world.broken, "") << offset.count();
    for (const PoolName& name : {PoolName{"n", 1}, PoolName{"n", 2}, PoolName{"s", 1}}) {
      const auto senders = world.senders(name);
      ASSERT_EQ(senders.size(), 1u) << name.text() << " after trouble at " << offset.count();
      ASSERT_EQ(senders.begin()->second, 3) << name.text() << " after trouble at " << offset.count();
    }
    ASSERT_EQ(world.senders({"n", 2}).begin()->first, "north");
  }
  EXPECT_EQ(begun_in, (std::set<std::string>{"cold", "draining", "handed over", "serving"}));
}

// A loss of a site's writers is planned for: what is left is shared by the calendar.
TEST(Pools, TakesOverWhatIsLost) {
  Settings settings = test::two_regions();
  settings.regions["south"].sites.push_back("t");
  settings.regions["north"].sites.push_back("m");
  settings.moving_at_once = 2;
  settings.room = 0.3;
  World world(settings, 5);
  world.run(20s);
  EXPECT_EQ(world.senders({"m", 1}), (Senders{{"north", 3}}));
  for (auto& one : world.nodes)
    if (one.zone == "t" || one.zone == "s")
      one.listed_state = EndpointState::draining;
  world.list();
  world.run(90s);
  int lent = 0;
  for (const PoolName& name :
       {PoolName{"m", 0}, PoolName{"m", 1}, PoolName{"m", 2}, PoolName{"n", 1}, PoolName{"n", 2}})
    lent += world.senders(name) == Senders{{"south", 3}};
  EXPECT_EQ(lent, 3);  // half of the six pools that are left
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));
  EXPECT_EQ(world.broken, "");
}

TEST(Pools, OtherSettingsAndDamageAreCounted) {
  World world(test::two_regions(), 6);
  world.run(5s);
  auto& one = *world.processes[0];
  const auto heard = one.pools->rights();
  const std::string ask = wire::write(wire::Ask{1, 1, {{{"n", 1}, {{7, 1, 1}, 1, Micros(0)}, false, false}}},
                                      world.settings.mark() + 1, one.local())[0];
  one.pools->receive(one.local(), "south0", ask, one);
  one.pools->receive(one.local(), "south0", "\xff\xff", one);
  const auto counts = one.pools->describe(one.local())["counts"];
  EXPECT_EQ(counts["other_settings"], 1);
  EXPECT_EQ(counts["unreadable"], 1);
  // Nor does a router get anywhere that asks for a region it does not stand in, or proposes another region's
  // pool.
  const auto mark = world.settings.mark();
  one.pools->receive(one.local(), "south0",
                     wire::write(wire::Ask{1, 0, {{{"n", 1}, {}, false, false}}}, mark, one.local())[0], one);
  one.pools->receive(
      one.local(), "south0",
      wire::write(wire::Propose{{{"n", 1}, {{7, 1, 1}, 1, Micros(0)}, false, false}}, mark, one.local())[0],
      one);
  EXPECT_EQ(one.pools->describe(one.local())["counts"]["strangers"], 2);
  world.run(20s);
  EXPECT_EQ(world.senders({"n", 1}), (Senders{{"north", 3}}));
}

// An older process of one name answers no more as keeper once the newer one is known.
TEST(Pools, TheOlderOfTwoProcessesIsSilent) {
  World world(test::two_regions(), 7);
  world.run(10s);
  auto& one = *world.processes[0];
  one.pools->keep(false, one.local());
  EXPECT_EQ(one.pools->describe(one.local())["keeper"]["on"], false);
  one.pools->keep(true, one.local());
  EXPECT_EQ(one.pools->describe(one.local())["keeper"]["abstains"], true);
  peers::View view;
  view.own_name = one.name;
  view.members.emplace_back();
  view.members[0].name = one.name;
  view.members[0].start = one.start + 1;
  one.pools->on_view_change(one.local(), view);
  EXPECT_EQ(one.pools->describe(one.local())["keeper"]["on"], false);
}

}  // namespace
}  // namespace lemonroute::pools
