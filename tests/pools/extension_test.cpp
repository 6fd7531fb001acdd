#include "pools/extension.h"

#include <gtest/gtest.h>

#include "extension_world.h"

namespace lemonroute::pools {
namespace {

using namespace std::chrono_literals;
using test::World;
using Senders = std::map<std::string, int>;

Settings settings_with_correction() {
  Settings s = test::two_regions();
  s.max_correction = 0.2;
  return s;
}
// Reports demand to all routers. The calendar is flat, so only demand changes what the regions want.
void report_demand(World& world, double north, double south) {
  for (auto& one : world.processes) {
    if (!one->extension)
      continue;
    const double writers = (one->site == "n" ? north : south) / 3 * world.settings.target_fill;
    NodeObserver::Demand demand;
    demand.own_load = writers / 4;
    demand.decode_nodes = 4;
    demand.accepted_requests = 10;
    one->extension->on_demand(demand, one->local());
  }
}
void schedule_demand(World& world, Micros from, Micros until, double north, double south) {
  for (Micros at = from; at < until; at += std::chrono::seconds(1))
    world.at(at, [&world, north, south] { report_demand(world, north, south); });
}
World::Process* planning_process(World& world, const std::string& region) {
  for (auto& one : world.processes)
    if (one->extension && one->name.starts_with(region) &&
        one->extension->describe(one->local())["plans"] == true)
      return one.get();
  return nullptr;
}

TEST(PoolsExtension, MigratesPoolsWithDemandAndReturnsThem) {
  const Settings settings = settings_with_correction();
  World world(settings, 1);
  schedule_demand(world, 0s, 30s, 12, 12);
  schedule_demand(world, 30s, 120s, 6, 16);
  schedule_demand(world, 120s, 300s, 12, 8);
  const PoolName lent{"n", 1}, stays{"n", 2};
  world.run(1s);
  EXPECT_TRUE(world.senders(lent).empty());                     // grantors abstain after the start
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));  // the reserve needs no lease
  world.run(29s);
  EXPECT_EQ(world.senders(lent), (Senders{{"north", 3}}));
  std::uint64_t version = world.processes[0]->extension->version();
  world.run(110s);
  EXPECT_GT(world.processes[0]->extension->version(), version);
  EXPECT_EQ(world.senders(lent), (Senders{{"south", 3}}));
  EXPECT_EQ(world.senders(stays), (Senders{{"north", 3}}));
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));
  // The pool started once. The region's routers agree on the time up to the delay of a request.
  std::vector<Micros> started;
  for (auto& one : world.processes)
    if (one->site == "s")
      started.push_back(one->extension->lease_snapshot()->overlay(test::node("n", 1, 0)).started_at -
                        one->clock_offset);
  for (const Micros at : started) {
    EXPECT_GT(at, World::base + 30s);
    EXPECT_LT(at - started[0] < 0s ? started[0] - at : at - started[0], 1500ms);
  }
  const auto description = world.processes[0]->extension->describe(world.processes[0]->local());
  EXPECT_EQ(description["pools"][1]["owner"], "south");
  EXPECT_EQ(description["pools"][1]["state"], "serving");
  EXPECT_EQ(description["pools"][1]["epoch"], 1);
  world.run(119s);
  for (std::size_t i = 0; i < started.size(); ++i)
    EXPECT_EQ(world.processes[3 + i]->extension->lease_snapshot()->overlay(test::node("n", 1, 0)).started_at -
                  world.processes[3 + i]->clock_offset,
              started[i]);
  world.run(300s);
  EXPECT_EQ(world.senders(lent), (Senders{{"north", 3}}));
  EXPECT_EQ(world.failure, "");
}

TEST(PoolsExtension, DrainsNoPrefillNodesAndNoSitesOutsideRegions) {
  World world(test::two_regions(), 2);
  world.run(10s);
  const auto snapshot = world.processes[0]->extension->lease_snapshot();
  EXPECT_FALSE(snapshot->overlay(test::node("s", 1, 0, "reader")).drained);
  EXPECT_FALSE(snapshot->overlay(test::node("elsewhere", 1, 0)).drained);
  EXPECT_TRUE(snapshot->overlay(test::node("s", 1, 0)).drained);
  EXPECT_TRUE(snapshot->overlay(test::node("s", 0, 0)).drained);  // another region's reserve
  EXPECT_TRUE(
      snapshot->overlay(test::node("n", 77, 0)).drained);  // a pool that the snapshot does not have yet
  EXPECT_EQ(snapshot->overlay(test::node("n", 0, 0)).expires_at, Micros::max());
  EXPECT_LT(snapshot->overlay(test::node("n", 1, 0)).expires_at, Micros::max());
}

// A partitioned region keeps its own pools and gets back those that it has lent; the borrower stops sending
// within one lease.
TEST(PoolsExtension, ReturnsLentPoolWhenBorrowerIsPartitioned) {
  const Settings settings = settings_with_correction();
  World world(settings, 3);
  schedule_demand(world, 0s, 200s, 6, 16);
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
  EXPECT_EQ(world.failure, "");
}

enum class Fault {
  planner_crashes,
  planner_suspended,
  grantors_restart,
  all_restart,
  partition,
  partition_one_way,
  loss
};
class InterruptedMigration : public testing::TestWithParam<Fault> {};
INSTANTIATE_TEST_SUITE_P(Faults, InterruptedMigration,
                         testing::Values(Fault::planner_crashes, Fault::planner_suspended,
                                         Fault::grantors_restart, Fault::all_restart, Fault::partition,
                                         Fault::partition_one_way, Fault::loss));

// A fault of 10 s starts at every 400 ms from before the plan until the pool serves. Two regions never hold
// the pool at once, and within eight leases after the fault has ended, one region holds it on all of its
// routers.
TEST_P(InterruptedMigration, CompletesOrIsUndone) {
  const Fault fault = GetParam();
  std::set<std::string> phases_at_fault;
  for (Micros offset = 0s; offset < 16s; offset += 400ms) {
    const Settings settings = settings_with_correction();
    World world(settings, 100 + static_cast<std::uint64_t>(offset.count()));
    schedule_demand(world, 0s, 20s, 12, 12);
    schedule_demand(world, 20s, 200s, 6, 16);
    const Micros begin = 34s + offset, end = begin + 10s;
    world.run(begin);
    auto* planner = planning_process(world, "north");
    ASSERT_TRUE(planner);
    phases_at_fault.insert(planner->extension->describe(planner->local())["pools"][1]["state"]);
    switch (fault) {
      case Fault::planner_crashes:
        world.crash(*planner);
        break;
      case Fault::planner_suspended:
        planner->suspended_until = end;
        break;
      case Fault::grantors_restart:
        for (int k = 0; k < 3; ++k)
          world.crash(*world.processes[k]), world.start(*world.processes[k]);
        break;
      case Fault::all_restart:
        for (auto& one : world.processes)
          world.crash(*one), world.start(*one);
        break;
      case Fault::partition:
        world.linked = [](auto& a, auto& b) { return a.site == b.site; };
        break;
      case Fault::partition_one_way:
        world.linked = [](auto& a, auto& b) { return a.site == b.site || a.site == "n"; };
        break;
      case Fault::loss:
        world.loss = 0.5;
        break;
    }
    world.run(end);
    if (fault == Fault::planner_crashes)
      world.start(*planner);
    world.linked = [](auto&, auto&) { return true; };
    world.loss = 0;
    world.run(end + 8 * settings.terms.lease);
    ASSERT_EQ(world.failure, "") << offset.count();
    for (const PoolName& name : {PoolName{"n", 1}, PoolName{"n", 2}, PoolName{"s", 1}}) {
      const auto senders = world.senders(name);
      ASSERT_EQ(senders.size(), 1u) << name.text() << " after the fault at " << offset.count();
      ASSERT_EQ(senders.begin()->second, 3) << name.text() << " after the fault at " << offset.count();
    }
    ASSERT_EQ(world.senders({"n", 2}).begin()->first, "north");
  }
  EXPECT_EQ(phases_at_fault, (std::set<std::string>{"cold", "draining", "handed over", "serving"}));
}

// When the decode nodes of sites are lost, the remaining pools are shared by the calendar.
TEST(PoolsExtension, SharesRemainingPoolsWhenSitesAreLost) {
  Settings settings = test::two_regions();
  settings.regions["south"].sites.push_back("t");
  settings.regions["north"].sites.push_back("m");
  settings.max_concurrent_migrations = 2;
  settings.headroom = 0.3;
  World world(settings, 5);
  world.run(20s);
  EXPECT_EQ(world.senders({"m", 1}), (Senders{{"north", 3}}));
  for (auto& one : world.nodes)
    if (one.zone == "t" || one.zone == "s")
      one.listed_state = EndpointState::draining;
  world.publish_nodes();
  world.run(90s);
  int lent = 0;
  for (const PoolName& name :
       {PoolName{"m", 0}, PoolName{"m", 1}, PoolName{"m", 2}, PoolName{"n", 1}, PoolName{"n", 2}})
    lent += world.senders(name) == Senders{{"south", 3}};
  EXPECT_EQ(lent, 3);  // half of the six pools that remain
  EXPECT_EQ(world.senders({"n", 0}), (Senders{{"north", 3}}));
  EXPECT_EQ(world.failure, "");
}

TEST(PoolsExtension, RejectsAndCountsForeignAndDamagedMessages) {
  World world(test::two_regions(), 6);
  world.run(5s);
  auto& one = *world.processes[0];
  const auto snapshot = one.extension->lease_snapshot();
  const std::string ask =
      wire::write(wire::LeaseRequest{1, 1, {{{"n", 1}, {{7, 1, 1}, 1, Micros(0)}, false, false}}},
                  world.settings.fingerprint() + 1, one.local())[0];
  one.extension->receive(one.local(), "south0", ask, one);
  one.extension->receive(one.local(), "south0", "\xff\xff", one);
  const auto counts = one.extension->describe(one.local())["counts"];
  EXPECT_EQ(counts["other_settings"], 1);
  EXPECT_EQ(counts["unreadable"], 1);
  // Requests for a region other than the sender's, and proposals for a pool of another region, are rejected.
  const auto fingerprint = world.settings.fingerprint();
  one.extension->receive(
      one.local(), "south0",
      wire::write(wire::LeaseRequest{1, 0, {{{"n", 1}, {}, false, false}}}, fingerprint, one.local())[0],
      one);
  one.extension->receive(one.local(), "south0",
                         wire::write(wire::Proposal{{{"n", 1}, {{7, 1, 1}, 1, Micros(0)}, false, false}},
                                     fingerprint, one.local())[0],
                         one);
  EXPECT_EQ(one.extension->describe(one.local())["counts"]["strangers"], 2);
  world.run(20s);
  EXPECT_EQ(world.senders({"n", 1}), (Senders{{"north", 3}}));
}

// Of two processes of one name, the older one stops answering as a grantor once it knows of the newer one.
TEST(PoolsExtension, OlderProcessOfTheSameNameStopsGranting) {
  World world(test::two_regions(), 7);
  world.run(10s);
  auto& one = *world.processes[0];
  one.extension->enable_grantor(false, one.local());
  EXPECT_EQ(one.extension->describe(one.local())["keeper"]["on"], false);
  one.extension->enable_grantor(true, one.local());
  EXPECT_EQ(one.extension->describe(one.local())["keeper"]["abstains"], true);
  peers::View view;
  view.own_name = one.name;
  view.members.emplace_back();
  view.members[0].name = one.name;
  view.members[0].start = one.start + 1;
  one.extension->on_view_change(one.local(), view);
  EXPECT_EQ(one.extension->describe(one.local())["keeper"]["on"], false);
}

}  // namespace
}  // namespace lemonroute::pools
