// Fleets of routers with real sockets and peers' threads, all on one serving loop. The tests wait for
// conditions, never for a fixed time.
#include "guide/fleet_bridge.h"

#include <gtest/gtest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>

#include "peers/seal/seal.h"
#include "peers/udp_socket.h"

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;

peers::seal::Key test_key(unsigned char byte) {
  std::array<unsigned char, peers::seal::Key::size> bytes;
  bytes.fill(byte);
  return peers::seal::make_key(bytes);
}

struct Router {
  Router(net::Loop& loop, const Clock& clock, const std::string& name, std::vector<std::string> seeds,
         std::vector<peers::seal::Key> keys, std::vector<ExtensionBinding> bindings = {},
         std::string listen = "127.0.0.1:0", bool predecessor_running = false)
      : fleet(loop, clock,
              options(clock, name, std::move(seeds), std::move(keys), std::move(listen), predecessor_running),
              std::move(bindings), [this](auto view) { counted_routers = view->router_count(); }) {}
  static FleetBridge::Options options(const Clock& clock, const std::string& name,
                                      std::vector<std::string> seeds, std::vector<peers::seal::Key> keys,
                                      std::string listen, bool predecessor_running) {
    FleetBridge::Options fleet_options;
    fleet_options.service.agent.name = name;
    fleet_options.service.agent.site.assign(1, 'a');
    fleet_options.service.agent.start = static_cast<std::uint64_t>(clock.now().count());
    fleet_options.service.agent.seeds = std::move(seeds);
    fleet_options.service.agent.period = milliseconds(40);
    fleet_options.service.listen = std::move(listen);
    fleet_options.service.previous_process_listening = predecessor_running;
    fleet_options.service.keys = std::move(keys);
    return fleet_options;
  }
  nlohmann::json status() const {
    return fleet.status_json() ? nlohmann::json::parse(*fleet.status_json()) : nlohmann::json::object();
  }
  std::uint64_t refused_datagrams(const char* reason) const {
    const auto json = status();
    return json.empty() ? 0 : json["datagrams"]["refused"][reason].get<std::uint64_t>();
  }
  int present_routers() const { return status().value("there", 0); }
  std::uint32_t counted_routers = 0;
  FleetBridge fleet;
};

struct FleetTest : testing::Test {
  // Runs the loop until the condition holds, for at most about 30 s, since the machine may be busy.
  template <class Condition>
  bool eventually(Condition condition) {
    net::Timer tick(loop, [] {});
    for (int i = 0; i < 3000 && !condition(); ++i) {
      tick.start(milliseconds(10));
      loop.run_once();
    }
    return condition();
  }
  net::Loop loop;
  SystemClock clock;
  std::vector<peers::seal::Key> keys{test_key(1)};
};

TEST_F(FleetTest, three_routers_join_through_one_seed_and_notice_one_leaving) {
  Router one(loop, clock, "one", {}, keys), two(loop, clock, "two", {one.fleet.address()}, keys);
  auto three = std::make_unique<Router>(loop, clock, "three", std::vector{one.fleet.address()}, keys);
  EXPECT_TRUE(eventually(
      [&] { return one.counted_routers == 3 && two.counted_routers == 3 && three->counted_routers == 3; }));
  EXPECT_TRUE(eventually([&] { return two.present_routers() == 3; }));
  three.reset();
  EXPECT_TRUE(eventually([&] { return one.present_routers() == 2 && two.present_routers() == 2; }));
  EXPECT_EQ(one.status()["known"], 2);  // a router that leaves of its own accord is no longer known
  EXPECT_TRUE(eventually([&] { return one.counted_routers == 2 && two.counted_routers == 2; }));
}

TEST_F(FleetTest, routers_join_during_a_key_rotation_and_one_with_an_unknown_key_is_refused) {
  Router one(loop, clock, "one", {}, {test_key(1), test_key(2)});
  const std::vector seeds{one.fleet.address()};
  Router two(loop, clock, "two", seeds, {test_key(2), test_key(1)}),
      foreign(loop, clock, "x", seeds, {test_key(3)});
  EXPECT_TRUE(eventually([&] { return one.present_routers() == 2 && two.present_routers() == 2; }));
  EXPECT_TRUE(eventually([&] { return one.refused_datagrams("unknown_key") > 3; }));
  EXPECT_EQ(foreign.present_routers(), 1);
  EXPECT_EQ(one.present_routers(), 2);
}

TEST_F(FleetTest, an_upgraded_process_uses_another_port_until_the_old_process_frees_the_address) {
  auto old_process = std::make_unique<Router>(loop, clock, "one", std::vector<std::string>{}, keys);
  const auto address = old_process->fleet.address();
  Router two(loop, clock, "two", {address}, keys);
  EXPECT_THROW(Router(loop, clock, "one", {}, keys, {}, address, false), std::runtime_error);
  Router new_process(loop, clock, "one", {two.fleet.address()}, keys, {}, address, true);
  EXPECT_NE(new_process.fleet.address(), address);
  EXPECT_TRUE(eventually([&] { return new_process.present_routers() == 2 && two.present_routers() == 2; }));
  old_process.reset();
  // A new router that knows only the old address joins through it.
  Router late(loop, clock, "late", {address}, keys);
  EXPECT_TRUE(eventually([&] {
    return late.present_routers() == 3 && two.present_routers() == 3 && new_process.present_routers() == 3;
  }));
}

TEST_F(FleetTest, invalid_and_replayed_datagrams_are_counted_and_change_nothing_else) {
  Router one(loop, clock, "one", {}, keys), two(loop, clock, "two", {one.fleet.address()}, keys);
  ASSERT_TRUE(eventually([&] { return one.present_routers() == 2; }));
  peers::UdpSocket stranger(loop, "127.0.0.1:0", 2000, [](auto&, auto) { return true; });
  peers::seal::Sealer sealer(test_key(1), {1, 1});
  const auto sealed = sealer.seal("no packet");
  auto forged = sealer.seal("forged");
  forged.back() = static_cast<char>(forged.back() ^ 1);
  for (const auto& junk :
       {sealed, sealed, forged, std::string("\2 what"), std::string(1500, '\1'), std::string()})
    EXPECT_TRUE(stranger.send(one.fleet.address(), junk));
  std::mt19937 random(1);
  for (int i = 0; i < 300; ++i)
    stranger.send(one.fleet.address(), std::string(random() % 200, char(random())));
  EXPECT_TRUE(eventually([&] {
    return one.refused_datagrams("replayed") == 1 && one.refused_datagrams("forged") >= 1 &&
           one.refused_datagrams("oversize") == 1 && one.refused_datagrams("flood") > 20 &&
           one.refused_datagrams("unknown_version") >= 1;
  })) << one.status()["datagrams"];
  EXPECT_EQ(one.present_routers(), 2);
}

// Sends cache losses to the other router; a router that receives one overlays all nodes as drained.
struct LossSharingExtension : peers::Extension {
  struct AllDrained {
    FleetView::NodeOverlay overlay(const Node&) const { return {true, Micros(0), Micros::max()}; }
  };
  peers::Topic topic() const override { return peers::Topic::tiers; }
  void on_view_change(Micros, const peers::View& view) override {
    for (const auto& member : view.members)
      if (member.name != view.own_name)
        other_router = member.name;
  }
  void receive(Micros, std::string_view, std::string_view bytes, peers::Outbox&) override {
    if (bytes == "lost")
      snapshot = std::make_shared<const AllDrained>();
  }
  void run_due(Micros now, peers::Outbox& out) override {
    if (std::exchange(loss_to_send, false))
      out.send(topic(), other_router, "lost");
    due_at = now + milliseconds(20);
  }
  Micros next_due() const override { return due_at; }
  nlohmann::json describe(Micros) const override { return nlohmann::json::object(); }
  void on_cache_lost(const Node&, Micros) { loss_to_send = true; }
  std::string other_router;
  std::shared_ptr<const AllDrained> snapshot;
  bool loss_to_send = false;
  Micros due_at{};
};

TEST_F(FleetTest, a_cache_loss_at_one_router_reaches_the_view_of_another) {
  const auto make_bindings = [] {
    std::vector<ExtensionBinding> bindings;
    bindings.push_back(
        bind_extension(std::make_unique<LossSharingExtension>(),
                       [](const LossSharingExtension& extension) { return extension.snapshot; }));
    return bindings;
  };
  std::shared_ptr<const FleetView> newest_view;
  FleetBridge one(loop, clock, Router::options(clock, "one", {}, keys, "127.0.0.1:0", false), make_bindings(),
                  [](auto) {});
  FleetBridge two(loop, clock, Router::options(clock, "two", {one.address()}, keys, "127.0.0.1:0", false),
                  make_bindings(), [&](auto view) { newest_view = std::move(view); });
  ASSERT_TRUE(eventually([&] { return newest_view && newest_view->router_count() == 2; }));
  Node node;
  node.id = 4;
  EXPECT_FALSE(newest_view->overlay(node).drained);
  one.observer().on_endpoints({node}, clock.now());
  one.observer().on_cache_lost(node, clock.now());
  EXPECT_TRUE(eventually([&] { return newest_view->overlay(node).drained; }));
}

struct ThrowingExtension : LossSharingExtension {
  void on_cache_lost(const Node&, Micros) { throw std::runtime_error("test failure"); }
};

TEST_F(FleetTest, an_exception_on_the_peers_thread_ends_the_peers_but_not_serving) {
  std::vector<ExtensionBinding> bindings;
  bindings.push_back(bind_extension(std::make_unique<ThrowingExtension>(),
                                    [](const ThrowingExtension& extension) { return extension.snapshot; }));
  Router one(loop, clock, "one", {}, keys, std::move(bindings)),
      two(loop, clock, "two", {one.fleet.address()}, keys);
  ASSERT_TRUE(eventually([&] { return one.counted_routers == 2 && two.present_routers() == 2; }));
  Node node;
  one.fleet.observer().on_endpoints({node}, clock.now());
  one.fleet.observer().on_cache_lost(node, clock.now());
  EXPECT_TRUE(eventually([&] { return one.status().value("failed", false); }));
  for (std::size_t i = 0; i < 2 * NodeEventQueue::capacity; ++i)
    one.fleet.observer().on_prefix_cached(node, i, 0, 1, 0, clock.now());
  EXPECT_EQ(one.counted_routers, 2u);  // the last view stays in force
  EXPECT_TRUE(eventually([&] { return two.present_routers() == 1; }));
}

}  // namespace
}  // namespace lemonroute::guide
