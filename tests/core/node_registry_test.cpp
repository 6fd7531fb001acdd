// NodeRegistry: the endpoint list, the overrides and fleet view applied to it, and the last contact with
// nodes.
#include <gtest/gtest.h>

#include "core/class_test_support.h"

namespace lemonroute::test {
namespace {

struct NodeRegistryTest : ::testing::Test, RouterClassFixture {};

// A fleet view with the same values for every node.
struct UniformView : FleetView {
  std::uint32_t router_count() const override { return routers; }
  NodeOverlay overlay(const Node&) const override { return node_overlay; }
  std::vector<CacheLocation> cache_locations(Key, Key) const override { return locations; }
  Micros cache_lost_at(const Node&) const override { return lost_at; }
  std::uint32_t routers = 0;
  NodeOverlay node_overlay;
  std::vector<CacheLocation> locations;
  Micros lost_at{};
};

TEST_F(NodeRegistryTest, FullListRemovesNodesThatItDoesNotContain) {
  (void)list_nodes({"r1", "w1"});
  (void)list_nodes({"w1"});
  EXPECT_EQ(nodes.find("r1"), nullptr);
  EXPECT_NE(nodes.find("w1"), nullptr);
}

TEST_F(NodeRegistryTest, IncrementalListKeepsNodesThatItDoesNotContain) {
  (void)list_nodes({"r1"});
  const auto update = nodes.update(EndpointListKind::incremental, 2, {listed_node("w1")});
  EXPECT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(nodes.ready_node_count(), 2u);
}

TEST_F(NodeRegistryTest, KeepsTheAddressWhenTheListHasNone) {
  (void)list_nodes({"r1"});
  ListedNode without_address = listed_node("r1");
  without_address.address.clear();
  (void)nodes.update(EndpointListKind::incremental, 2, {without_address});
  EXPECT_EQ(nodes.find("r1")->address, "127.0.0.1:1");
}

TEST_F(NodeRegistryTest, RoleIsMixedForAKindWithoutARole) {
  (void)list_nodes({"r1", "w1", "x1"});
  EXPECT_EQ(nodes.role_of(id("r1")), Role::prefill);
  EXPECT_EQ(nodes.role_of(id("w1")), Role::decode);
  EXPECT_EQ(nodes.role_of(id("x1")), Role::mixed);
  EXPECT_EQ(nodes.role_of(id("unlisted")), Role::mixed);
}

TEST_F(NodeRegistryTest, RenumberAssignsKindsByTheNewNames) {
  (void)list_nodes({"r1", "w1"});
  const auto update = nodes.set_zones_and_kinds({"a"}, {"w", "r"});
  EXPECT_EQ(update.kind, EndpointListKind::full);
  EXPECT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(nodes.role_of(id("w1")), Role::prefill);
}

TEST_F(NodeRegistryTest, DrainedNodeStaysDrainingWhenListedAsReady) {
  (void)list_nodes({"r1"});
  EXPECT_EQ(nodes.drain("r1"), OverrideResult::applied);
  const auto update = nodes.refresh_overlays();
  ASSERT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(update.endpoints[0].state, EndpointState::draining);
  (void)list_nodes({"r1"});
  EXPECT_FALSE(nodes.is_ready(id("r1")));
}

TEST_F(NodeRegistryTest, UndrainedNodeCountsAsJustStarted) {
  (void)list_nodes({"r1"});
  ASSERT_EQ(nodes.drain("r1"), OverrideResult::applied);
  (void)nodes.refresh_overlays();
  clock.time += 5s;
  ASSERT_EQ(nodes.undrain("r1"), OverrideResult::applied);
  (void)nodes.refresh_overlays();
  EXPECT_TRUE(nodes.is_ready(id("r1")));
  EXPECT_EQ(nodes.find("r1")->endpoint.started_at, clock.time);
  EXPECT_EQ(nodes.find("r1")->listed_start, Micros(0));
}

TEST_F(NodeRegistryTest, DrainAcceptsRemovedNodesAndRejectsUnknownNodes) {
  (void)list_nodes({"r1", "w1"});
  (void)list_nodes({"w1"});
  EXPECT_EQ(nodes.drain("r1"), OverrideResult::applied);
  EXPECT_EQ(nodes.drain("never_listed"), OverrideResult::unknown_node);
}

TEST_F(NodeRegistryTest, NodeDrainsWhenItsOverlayExpires) {
  (void)list_nodes({"r1"});
  auto view = std::make_shared<UniformView>();
  view->node_overlay.expires_at = clock.time + 1s;
  nodes.set_fleet_view(view);
  EXPECT_TRUE(nodes.refresh_overlays().endpoints.empty());
  EXPECT_FALSE(nodes.overlay_expired());
  clock.time += 1s;
  EXPECT_TRUE(nodes.overlay_expired());
  EXPECT_EQ(nodes.refresh_overlays().endpoints.size(), 1u);
  EXPECT_FALSE(nodes.is_ready(id("r1")));
  EXPECT_FALSE(nodes.overlay_expired());
}

TEST_F(NodeRegistryTest, ReportsEachCacheLossOnce) {
  (void)list_nodes({"r1"});
  auto view = std::make_shared<UniformView>();
  view->lost_at = clock.time;
  nodes.set_fleet_view(view);
  EXPECT_EQ(nodes.record_cache_losses(), std::vector{id("r1")});
  EXPECT_TRUE(nodes.record_cache_losses().empty());
}

TEST_F(NodeRegistryTest, CacheHintsContainOnlyListedNodesWithConfidenceUpToOne) {
  (void)list_nodes({"r1"});
  auto view = std::make_shared<UniformView>();
  view->locations = {{"r1", 50, 2.0}, {"unlisted", 70, 0.5}};
  nodes.set_fleet_view(view);
  const auto hints = nodes.cache_hints(1, 2);
  ASSERT_EQ(hints.size(), 1u);
  EXPECT_EQ(hints[0].endpoint, id("r1"));
  EXPECT_EQ(hints[0].confidence, 1.0);
}

TEST_F(NodeRegistryTest, RouterCountOfTheFleetViewOverridesTheSettings) {
  settings.router_count = 3;
  EXPECT_EQ(nodes.effective_settings().router_count, 3u);
  auto view = std::make_shared<UniformView>();
  nodes.set_fleet_view(view);
  EXPECT_EQ(nodes.effective_settings().router_count, 3u) << "a router count of 0 keeps that of the settings";
  view->routers = 5;
  EXPECT_EQ(nodes.effective_settings().router_count, 5u);
}

TEST_F(NodeRegistryTest, NodeIsSuspectedAfterAFailureSinceItsLastAnswer) {
  (void)list_nodes({"r1"});
  nodes.record_answer(id("r1"));
  EXPECT_TRUE(nodes.has_answered_since(id("r1"), clock.time));
  clock.time += 1ms;
  nodes.record_failure(id("r1"));
  EXPECT_TRUE(nodes.failed_at_last_contact(id("r1")));
  EXPECT_FALSE(nodes.has_answered_since(id("r1"), clock.time - 1ms));
  clock.time += 1ms;
  nodes.record_answer(id("r1"));
  EXPECT_FALSE(nodes.failed_at_last_contact(id("r1")));
}

TEST_F(NodeRegistryTest, RemovedNodeLosesItsLastContact) {
  (void)list_nodes({"r1"});
  nodes.record_failure(id("r1"));
  (void)list_nodes({});
  nodes.record_failure(id("r1"));
  (void)list_nodes({"r1"});
  EXPECT_FALSE(nodes.failed_at_last_contact(id("r1")));
  EXPECT_EQ(nodes.last_answer(id("r1")), std::nullopt);
}

}  // namespace
}  // namespace lemonroute::test
