// Routers' peers on real sockets and threads, all on one serving loop. Waits are for facts, never for a time.
#include "guide/fleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>

#include "peers/seal/seal.h"
#include "peers/udp.h"

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;

peers::seal::Key key(unsigned char of) {
  std::array<unsigned char, peers::seal::Key::size> bytes;
  bytes.fill(of);
  return peers::seal::make_key(bytes);
}

struct Router {
  Router(net::Loop& loop, const Clock& clock, const std::string& name, std::vector<std::string> seeds,
         std::vector<peers::seal::Key> keys, std::vector<Binding> bindings = {},
         std::string listen = "127.0.0.1:0", bool beside = false)
      : fleet(loop, clock, options(clock, name, std::move(seeds), std::move(keys), std::move(listen), beside),
              std::move(bindings), [this](auto newer) { siblings = newer->router_count(); }) {}
  static Fleet::Options options(const Clock& clock, const std::string& name, std::vector<std::string> seeds,
                                std::vector<peers::seal::Key> keys, std::string listen, bool beside) {
    Fleet::Options to;
    to.service.agent.name = name;
    to.service.agent.site.assign(1, 'a');
    to.service.agent.start = static_cast<std::uint64_t>(clock.now().count());
    to.service.agent.seeds = std::move(seeds);
    to.service.agent.period = milliseconds(40);
    to.service.listen = std::move(listen);
    to.service.beside_another = beside;
    to.service.keys = std::move(keys);
    return to;
  }
  nlohmann::json json() const {
    return fleet.text() ? nlohmann::json::parse(*fleet.text()) : nlohmann::json::object();
  }
  std::uint64_t refused(const char* why) const {
    const auto all = json();
    return all.empty() ? 0 : all["datagrams"]["refused"][why].get<std::uint64_t>();
  }
  int there() const { return json().value("there", 0); }
  std::uint32_t siblings = 0;
  Fleet fleet;
};

struct World : testing::Test {
  // For as long as a machine may take that does a lot else.
  template <class Fact>
  bool comes(Fact fact) {
    net::Timer again(loop, [] {});
    for (int i = 0; i < 3000 && !fact(); ++i) {
      again.start(milliseconds(10));
      loop.run_once();
    }
    return fact();
  }
  net::Loop loop;
  SystemClock clock;
  std::vector<peers::seal::Key> keys{key(1)};
};

TEST_F(World, three_join_by_one_seed_count_each_other_and_see_one_leave) {
  Router one(loop, clock, "one", {}, keys), two(loop, clock, "two", {one.fleet.address()}, keys);
  auto three = std::make_unique<Router>(loop, clock, "three", std::vector{one.fleet.address()}, keys);
  EXPECT_TRUE(comes([&] { return one.siblings == 3 && two.siblings == 3 && three->siblings == 3; }));
  EXPECT_TRUE(comes([&] { return two.there() == 3; }));
  three.reset();
  EXPECT_TRUE(comes([&] { return one.there() == 2 && two.there() == 2; }));
  EXPECT_EQ(one.json()["known"], 2);  // it said so itself
  EXPECT_TRUE(comes([&] { return one.siblings == 2 && two.siblings == 2; }));
}

TEST_F(World, keys_change_one_process_at_a_time_and_a_foreign_key_is_nobody) {
  Router one(loop, clock, "one", {}, {key(1), key(2)});
  const std::vector seeds{one.fleet.address()};
  Router two(loop, clock, "two", seeds, {key(2), key(1)}), foreign(loop, clock, "x", seeds, {key(3)});
  EXPECT_TRUE(comes([&] { return one.there() == 2 && two.there() == 2; }));
  EXPECT_TRUE(comes([&] { return one.refused("unknown_key") > 3; }));
  EXPECT_EQ(foreign.there(), 1);
  EXPECT_EQ(one.there(), 2);
}

TEST_F(World, an_upgrade_takes_a_port_beside_the_old_process_and_the_address_after_it) {
  auto before = std::make_unique<Router>(loop, clock, "one", std::vector<std::string>{}, keys);
  const auto address = before->fleet.address();
  Router two(loop, clock, "two", {address}, keys);
  EXPECT_THROW(Router(loop, clock, "one", {}, keys, {}, address, false), std::runtime_error);
  Router after(loop, clock, "one", {two.fleet.address()}, keys, {}, address, true);
  EXPECT_NE(after.fleet.address(), address);
  EXPECT_TRUE(comes([&] { return after.there() == 2 && two.there() == 2; }));
  before.reset();
  // A newcomer that knows the old address only finds the others by it.
  Router late(loop, clock, "late", {address}, keys);
  EXPECT_TRUE(comes([&] { return late.there() == 3 && two.there() == 3 && after.there() == 3; }));
}

TEST_F(World, junk_and_copies_are_counted_and_cost_nothing_else) {
  Router one(loop, clock, "one", {}, keys), two(loop, clock, "two", {one.fleet.address()}, keys);
  ASSERT_TRUE(comes([&] { return one.there() == 2; }));
  peers::Udp stranger(loop, "127.0.0.1:0", 2000, [](auto&, auto) { return true; });
  peers::seal::Sealer sealer(key(1), {1, 1});
  const auto sealed = sealer.seal("no packet");
  auto forged = sealer.seal("forged");
  forged.back() = static_cast<char>(forged.back() ^ 1);
  for (const auto& junk :
       {sealed, sealed, forged, std::string("\2 what"), std::string(1500, '\1'), std::string()})
    EXPECT_TRUE(stranger.send(one.fleet.address(), junk));
  std::mt19937 random(1);
  for (int i = 0; i < 300; ++i)
    stranger.send(one.fleet.address(), std::string(random() % 200, char(random())));
  EXPECT_TRUE(comes([&] {
    return one.refused("replayed") == 1 && one.refused("forged") >= 1 && one.refused("oversize") == 1 &&
           one.refused("flood") > 20 && one.refused("unknown_version") >= 1;
  })) << one.json()["datagrams"];
  EXPECT_EQ(one.there(), 2);
}

// An extension that hears of nodes and says of each that it is away once a loss was told of it.
struct Talker : peers::Extension {
  struct Away {
    FleetView::NodeOverlay overlay(const Node&) const { return {true, Micros(0), Micros::max()}; }
  };
  peers::Topic topic() const override { return peers::Topic::tiers; }
  void viewed(Micros, const peers::View& view) override {
    for (const auto& member : view.members)
      if (member.name != view.me)
        other = member.name;
  }
  void receive(Micros, std::string_view, std::string_view bytes, peers::Outbox&) override {
    if (bytes == "lost")
      guide = std::make_shared<const Away>();
  }
  void run_due(Micros now, peers::Outbox& out) override {
    if (std::exchange(told, false))
      out.send(topic(), other, "lost");
    due = now + milliseconds(20);
  }
  Micros next_due() const override { return due; }
  nlohmann::json describe(Micros) const override { return nlohmann::json::object(); }
  void on_cache_lost(const Node&, Micros) { told = true; }
  std::string other;
  std::shared_ptr<const Away> guide;
  bool told = false;
  Micros due{};
};

TEST_F(World, what_one_sees_of_a_node_guides_the_other) {
  const auto binding = [] {
    std::vector<Binding> bindings;
    bindings.push_back(binding_of(std::make_unique<Talker>(), [](const Talker& at) { return at.guide; }));
    return bindings;
  };
  std::shared_ptr<const FleetView> newest;
  Fleet one(loop, clock, Router::options(clock, "one", {}, keys, "127.0.0.1:0", false), binding(),
            [](auto) {});
  Fleet two(loop, clock, Router::options(clock, "two", {one.address()}, keys, "127.0.0.1:0", false),
            binding(), [&](auto newer) { newest = std::move(newer); });
  ASSERT_TRUE(comes([&] { return newest && newest->router_count() == 2; }));
  Node node;
  node.id = 4;
  EXPECT_FALSE(newest->overlay(node).drained);
  one.observer().on_endpoints({node}, clock.now());
  one.observer().on_cache_lost(node, clock.now());
  EXPECT_TRUE(comes([&] { return newest->overlay(node).drained; }));
}

struct Broken : Talker {
  void on_cache_lost(const Node&, Micros) { throw std::runtime_error("a slip"); }
};

TEST_F(World, a_fault_on_the_thread_of_the_peers_ends_them_and_not_what_serves) {
  std::vector<Binding> bindings;
  bindings.push_back(binding_of(std::make_unique<Broken>(), [](const Broken& at) { return at.guide; }));
  Router one(loop, clock, "one", {}, keys, std::move(bindings)),
      two(loop, clock, "two", {one.fleet.address()}, keys);
  ASSERT_TRUE(comes([&] { return one.siblings == 2 && two.there() == 2; }));
  Node node;
  one.fleet.observer().on_endpoints({node}, clock.now());
  one.fleet.observer().on_cache_lost(node, clock.now());
  EXPECT_TRUE(comes([&] { return one.json().value("failed", false); }));
  for (std::size_t i = 0; i < 2 * Notes::room; ++i)
    one.fleet.observer().on_prefix_cached(node, i, 0, 1, 0, clock.now());
  EXPECT_EQ(one.siblings, 2u);  // what was known last
  EXPECT_TRUE(comes([&] { return two.there() == 1; }));
}

}  // namespace
}  // namespace lemonroute::guide
