#include "guide/node_event_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <thread>

#include "guide/combined_fleet_view.h"

namespace lemonroute::guide {
namespace {

Node node(EndpointId id, const std::string& name) {
  Node node;
  node.id = id;
  node.name = name;
  return node;
}

// Records the calls as text, and counts them.
struct RecordingObserver : NodeObserver {
  void on_prefix_cached(const Node& node, Key session, Key, double, double, Micros) override {
    text += " cached " + node.name + ":" + std::to_string(session);
    ++cached_prefixes;
  }
  void on_cache_lost(const Node& node, Micros) override {
    text += " lost " + node.name;
    ++losses;
  }
  void on_endpoints(const std::vector<Node>& nodes, Micros) override {
    text += " listed " + std::to_string(nodes.size());
  }
  void on_demand(const Demand& demand, Micros) override {
    accepted_requests_seen += demand.accepted_requests;
  }
  std::string text;
  std::uint64_t cached_prefixes = 0, losses = 0, accepted_requests_seen = 0;
};

TEST(NodeEventQueue, delivers_in_order_and_only_events_of_listed_nodes) {
  int wakes = 0;
  NodeEventQueue events([&] { ++wakes; });
  RecordingObserver observer;
  // No endpoint list has this node yet.
  events.on_prefix_cached(node(1, "a"), 7, 0, 1, 0, Micros(1));
  events.on_endpoints({node(1, "a"), node(2, "b")}, Micros(2));
  events.on_prefix_cached(node(2, "b"), 8, 0, 1, 0, Micros(3));
  events.on_cache_lost(node(1, "a"), Micros(4));
  events.on_endpoints({node(2, "c")}, Micros(5));
  events.on_cache_lost(node(1, "a"), Micros(6));
  events.on_cache_lost(node(2, "c"), Micros(7));
  events.deliver({&observer});
  EXPECT_EQ(observer.text, " listed 2 cached b:8 lost a listed 1 lost c");
  EXPECT_EQ(wakes, 5);  // two endpoint lists and three cache losses
  EXPECT_EQ(events.dropped(), 0u);
}

TEST(NodeEventQueue, bounds_memory_and_keeps_all_cache_losses_while_the_consumer_is_stalled) {
  NodeEventQueue events([] {});
  RecordingObserver observer;
  events.on_endpoints({node(1, "a")}, Micros(1));
  for (std::size_t i = 0; i < 3 * NodeEventQueue::capacity; ++i)
    events.on_prefix_cached(node(1, "a"), i, 0, 1, 0, Micros(2));
  EXPECT_GT(events.dropped(), 2 * NodeEventQueue::capacity - 10);
  for (int i = 0; i < 10; ++i)
    events.on_cache_lost(node(1, "a"), Micros(3));
  for (int i = 0; i < 5; ++i)
    events.on_endpoints({node(1, "a"), node(2, "b")}, Micros(4));
  const auto before = events.dropped();
  events.on_cache_lost(node(2, "b"), Micros(5));
  EXPECT_EQ(events.dropped(), before);
  events.deliver({&observer});
  // Moves the pending events into the ring before its own.
  events.on_prefix_cached(node(2, "b"), 99, 0, 1, 0, Micros(6));
  observer.text.clear();
  events.deliver({&observer});
  EXPECT_EQ(observer.losses, 11u);
  EXPECT_EQ(observer.text.substr(observer.text.size() - 28), " listed 2 lost b cached b:99");
}

TEST(NodeEventQueue, delivers_each_event_once_or_counts_it_as_dropped_between_two_threads) {
  NodeEventQueue events([] {});
  RecordingObserver observer;
  constexpr std::uint64_t event_count = 200'000;
  events.on_endpoints({node(1, "a")}, Micros(1));
  std::thread producer([&] {
    for (std::uint64_t i = 0; i < event_count; ++i)
      events.on_demand({0, 0, 1, 0, 1}, Micros(2));
  });
  while (observer.accepted_requests_seen + events.dropped() < event_count)
    events.deliver({&observer});
  producer.join();
  events.deliver({&observer});
  EXPECT_EQ(observer.accepted_requests_seen + events.dropped(), event_count);
}

struct FixedView : FleetView {
  FixedView(NodeOverlay overlay, std::string node_name, Micros lost_at)
      : overlay_(overlay), node_name_(std::move(node_name)), lost_at_(lost_at) {}
  NodeOverlay overlay(const Node&) const override { return overlay_; }
  std::vector<CacheLocation> cache_locations(Key, Key) const override {
    return node_name_.empty() ? std::vector<CacheLocation>{}
                              : std::vector<CacheLocation>{{node_name_, 10, 1}};
  }
  Micros cache_lost_at(const Node&) const override { return lost_at_; }
  NodeOverlay overlay_;
  std::string node_name_;
  Micros lost_at_;
};

TEST(CombinedFleetView, combines_its_views_and_drains_a_node_that_any_view_drains) {
  const CombinedFleetView no_views(3, {});
  EXPECT_EQ(no_views.router_count(), 3u);
  EXPECT_FALSE(no_views.overlay(node(1, "a")).drained);
  EXPECT_EQ(no_views.overlay(node(1, "a")).expires_at, Micros::max());
  const CombinedFleetView two_views(
      3, {std::make_shared<FixedView>(FleetView::NodeOverlay{true, Micros(5), Micros(90)}, "a", Micros(0)),
          std::make_shared<FixedView>(FleetView::NodeOverlay{false, Micros(7), Micros(80)}, "b", Micros(4))});
  const auto combined = two_views.overlay(node(1, "a"));
  EXPECT_TRUE(combined.drained);
  EXPECT_EQ(combined.started_at, Micros(7));
  EXPECT_EQ(combined.expires_at, Micros(80));
  EXPECT_EQ(two_views.cache_locations(1, 2).size(), 2u);
  EXPECT_EQ(two_views.cache_lost_at(node(1, "a")), Micros(4));
}

}  // namespace
}  // namespace lemonroute::guide
