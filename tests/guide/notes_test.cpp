#include "guide/notes.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <thread>

#include "guide/fleet_guide.h"

namespace lemonroute::guide {
namespace {

Node node(EndpointId id, const std::string& name) {
  Node node;
  node.id = id;
  node.name = name;
  return node;
}

struct Heard : NodeObserver {
  void on_prefix_cached(const Node& node, Key session, Key, double, double, Micros) override {
    text += " kept " + node.name + ":" + std::to_string(session);
    ++kepts;
  }
  void on_cache_lost(const Node& node, Micros) override {
    text += " lost " + node.name;
    ++losses;
  }
  void on_endpoints(const std::vector<Node>& nodes, Micros) override {
    text += " listed " + std::to_string(nodes.size());
  }
  void on_demand(const Demand& demand, Micros) override { taken += demand.accepted_requests; }
  std::string text;
  std::uint64_t kepts = 0, losses = 0, taken = 0;
};

TEST(Notes, arrive_in_order_and_of_nodes_that_are_known_only) {
  int rung = 0;
  Notes notes([&] { ++rung; });
  Heard heard;
  notes.on_prefix_cached(node(1, "a"), 7, 0, 1, 0, Micros(1));  // before any list: of nobody
  notes.on_endpoints({node(1, "a"), node(2, "b")}, Micros(2));
  notes.on_prefix_cached(node(2, "b"), 8, 0, 1, 0, Micros(3));
  notes.on_cache_lost(node(1, "a"), Micros(4));
  notes.on_endpoints({node(2, "c")}, Micros(5));
  notes.on_cache_lost(node(1, "a"), Micros(6));
  notes.on_cache_lost(node(2, "c"), Micros(7));
  notes.read({&heard});
  EXPECT_EQ(heard.text, " listed 2 kept b:8 lost a listed 1 lost c");
  EXPECT_EQ(rung, 5);  // for lists and losses
  EXPECT_EQ(notes.dropped(), 0u);
}

TEST(Notes, a_reader_that_stands_still_costs_bounded_memory_and_no_loss_of_text_goes_unheard) {
  Notes notes([] {});
  Heard heard;
  notes.on_endpoints({node(1, "a")}, Micros(1));
  for (std::size_t i = 0; i < 3 * Notes::room; ++i)
    notes.on_prefix_cached(node(1, "a"), i, 0, 1, 0, Micros(2));
  EXPECT_GT(notes.dropped(), 2 * Notes::room - 10);
  for (int i = 0; i < 10; ++i)
    notes.on_cache_lost(node(1, "a"), Micros(3));
  for (int i = 0; i < 5; ++i)
    notes.on_endpoints({node(1, "a"), node(2, "b")}, Micros(4));
  const auto before = notes.dropped();
  notes.on_cache_lost(node(2, "b"), Micros(5));
  EXPECT_EQ(notes.dropped(), before);
  notes.read({&heard});
  notes.on_prefix_cached(node(2, "b"), 99, 0, 1, 0, Micros(6));  // brings along what had to wait
  heard.text.clear();
  notes.read({&heard});
  EXPECT_EQ(heard.losses, 11u);
  EXPECT_EQ(heard.text.substr(heard.text.size() - 26), " listed 2 lost b kept b:99");
}

TEST(Notes, between_two_threads_each_is_heard_once_or_counted) {
  Notes notes([] {});
  Heard heard;
  constexpr std::uint64_t many = 200'000;
  notes.on_endpoints({node(1, "a")}, Micros(1));
  std::thread writer([&] {
    for (std::uint64_t i = 0; i < many; ++i)
      notes.on_demand({0, 0, 1, 0, 1}, Micros(2));
  });
  while (heard.taken + notes.dropped() < many)
    notes.read({&heard});
  writer.join();
  notes.read({&heard});
  EXPECT_EQ(heard.taken + notes.dropped(), many);
}

struct Fixed : FleetView {
  Fixed(NodeOverlay laid, std::string holder, Micros lost)
      : laid_(laid), holder_(std::move(holder)), lost_(lost) {}
  NodeOverlay overlay(const Node&) const override { return laid_; }
  std::vector<CacheLocation> cache_locations(Key, Key) const override {
    return holder_.empty() ? std::vector<CacheLocation>{} : std::vector<CacheLocation>{{holder_, 10, 1}};
  }
  Micros cache_lost_at(const Node&) const override { return lost_; }
  NodeOverlay laid_;
  std::string holder_;
  Micros lost_;
};

TEST(FleetGuide, says_what_its_parts_say_and_in_doubt_that_a_node_is_away) {
  const FleetGuide none(3, {});
  EXPECT_EQ(none.router_count(), 3u);
  EXPECT_FALSE(none.overlay(node(1, "a")).drained);
  EXPECT_EQ(none.overlay(node(1, "a")).expires_at, Micros::max());
  const FleetGuide both(
      3, {std::make_shared<Fixed>(FleetView::NodeOverlay{true, Micros(5), Micros(90)}, "a", Micros(0)),
          std::make_shared<Fixed>(FleetView::NodeOverlay{false, Micros(7), Micros(80)}, "b", Micros(4))});
  const auto laid = both.overlay(node(1, "a"));
  EXPECT_TRUE(laid.drained);
  EXPECT_EQ(laid.started_at, Micros(7));
  EXPECT_EQ(laid.expires_at, Micros(80));
  EXPECT_EQ(both.cache_locations(1, 2).size(), 2u);
  EXPECT_EQ(both.cache_lost_at(node(1, "a")), Micros(4));
}

}  // namespace
}  // namespace lemonroute::guide
