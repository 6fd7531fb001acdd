// The endpoint list, overrides and fleet view laid over it, and last contact.
#include <gtest/gtest.h>

#include "core/class_test_support.h"

namespace lemonroute::test {
namespace {

struct NodeRegistryTest : ::testing::Test, ClassFixture {};

// Says the same of every node.
struct UniformView : FleetView {
  std::uint32_t router_count() const override { return routers; }
  NodeOverlay overlay(const Node&) const override { return same; }
  std::vector<CacheLocation> cache_locations(Key, Key) const override { return locations; }
  Micros cache_lost_at(const Node&) const override { return lost_at; }
  std::uint32_t routers = 0;
  NodeOverlay same;
  std::vector<CacheLocation> locations;
  Micros lost_at{};
};

TEST_F(NodeRegistryTest, FullListRemovesNodesThatItDoesNotName) {
  (void)list({"r1", "w1"});
  (void)list({"w1"});
  EXPECT_EQ(nodes.find("r1"), nullptr);
  EXPECT_NE(nodes.find("w1"), nullptr);
}

TEST_F(NodeRegistryTest, IncrementalListKeepsNodesThatItDoesNotName) {
  (void)list({"r1"});
  const auto update = nodes.update(EndpointListKind::incremental, 2, {listed_node("w1")});
  EXPECT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(nodes.ready_nodes(), 2u);
}

TEST_F(NodeRegistryTest, KeepsTheAddressWhereTheListStatesNone) {
  (void)list({"r1"});
  ListedNode without_address = listed_node("r1");
  without_address.address.clear();
  (void)nodes.update(EndpointListKind::incremental, 2, {without_address});
  EXPECT_EQ(nodes.find("r1")->address, "127.0.0.1:1");
}

TEST_F(NodeRegistryTest, RoleIsMixedForAKindWithoutARole) {
  (void)list({"r1", "w1", "x1"});
  EXPECT_EQ(nodes.role_of(id("r1")), Role::prefill);
  EXPECT_EQ(nodes.role_of(id("w1")), Role::decode);
  EXPECT_EQ(nodes.role_of(id("x1")), Role::mixed);
  EXPECT_EQ(nodes.role_of(id("unlisted")), Role::mixed);
}

TEST_F(NodeRegistryTest, RenumbersKindsByTheNewNames) {
  (void)list({"r1", "w1"});
  const auto update = nodes.renumber({"a"}, {"w", "r"});
  EXPECT_EQ(update.kind, EndpointListKind::full);
  EXPECT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(nodes.role_of(id("w1")), Role::prefill);
}

TEST_F(NodeRegistryTest, DrainedNodeIsDrainingWhateverIsListed) {
  (void)list({"r1"});
  EXPECT_EQ(nodes.drain("r1"), OverrideResult::applied);
  const auto update = nodes.refresh_overlays();
  ASSERT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(update.endpoints[0].state, EndpointState::draining);
  (void)list({"r1"});
  EXPECT_FALSE(nodes.is_ready(id("r1")));
}

TEST_F(NodeRegistryTest, UndrainedNodeCountsAsJustStarted) {
  (void)list({"r1"});
  ASSERT_EQ(nodes.drain("r1"), OverrideResult::applied);
  (void)nodes.refresh_overlays();
  clock.at += 5s;
  ASSERT_EQ(nodes.undrain("r1"), OverrideResult::applied);
  (void)nodes.refresh_overlays();
  EXPECT_TRUE(nodes.is_ready(id("r1")));
  EXPECT_EQ(nodes.find("r1")->endpoint.started_at, clock.at);
  EXPECT_EQ(nodes.find("r1")->listed_start, Micros(0));
}

TEST_F(NodeRegistryTest, DrainsARemovedNodeButNoUnknownOne) {
  (void)list({"r1", "w1"});
  (void)list({"w1"});
  EXPECT_EQ(nodes.drain("r1"), OverrideResult::applied);
  EXPECT_EQ(nodes.drain("never_listed"), OverrideResult::unknown_node);
}

TEST_F(NodeRegistryTest, NodeDrainsWhenItsOverlayExpires) {
  (void)list({"r1"});
  auto view = std::make_shared<UniformView>();
  view->same.expires_at = clock.at + 1s;
  nodes.set_fleet_view(view);
  EXPECT_TRUE(nodes.refresh_overlays().endpoints.empty());
  EXPECT_FALSE(nodes.overlay_expired());
  clock.at += 1s;
  EXPECT_TRUE(nodes.overlay_expired());
  EXPECT_EQ(nodes.refresh_overlays().endpoints.size(), 1u);
  EXPECT_FALSE(nodes.is_ready(id("r1")));
  EXPECT_FALSE(nodes.overlay_expired());
}

TEST_F(NodeRegistryTest, ReportsEachCacheLossOnce) {
  (void)list({"r1"});
  auto view = std::make_shared<UniformView>();
  view->lost_at = clock.at;
  nodes.set_fleet_view(view);
  EXPECT_EQ(nodes.record_cache_losses(), std::vector{id("r1")});
  EXPECT_TRUE(nodes.record_cache_losses().empty());
}

TEST_F(NodeRegistryTest, CacheHintsNameListedNodesOnlyWithConfidenceUpToOne) {
  (void)list({"r1"});
  auto view = std::make_shared<UniformView>();
  view->locations = {{"r1", 50, 2.0}, {"unlisted", 70, 0.5}};
  nodes.set_fleet_view(view);
  const auto hints = nodes.cache_hints(1, 2);
  ASSERT_EQ(hints.size(), 1u);
  EXPECT_EQ(hints[0].endpoint, id("r1"));
  EXPECT_EQ(hints[0].confidence, 1.0);
}

TEST_F(NodeRegistryTest, RouterCountOfTheViewReplacesThatOfTheSettings) {
  settings.router_count = 3;
  EXPECT_EQ(nodes.effective_settings().router_count, 3u);
  auto view = std::make_shared<UniformView>();
  nodes.set_fleet_view(view);
  EXPECT_EQ(nodes.effective_settings().router_count, 3u) << "0 leaves it as the settings state it";
  view->routers = 5;
  EXPECT_EQ(nodes.effective_settings().router_count, 5u);
}

TEST_F(NodeRegistryTest, FailureAfterTheLastAnswerMakesANodeSuspected) {
  (void)list({"r1"});
  nodes.record_answer(id("r1"));
  EXPECT_TRUE(nodes.has_answered_since(id("r1"), clock.at));
  clock.at += 1ms;
  nodes.record_failure(id("r1"));
  EXPECT_TRUE(nodes.suspected(id("r1")));
  EXPECT_FALSE(nodes.has_answered_since(id("r1"), clock.at - 1ms));
  clock.at += 1ms;
  nodes.record_answer(id("r1"));
  EXPECT_FALSE(nodes.suspected(id("r1")));
}

TEST_F(NodeRegistryTest, RemovedNodeLosesItsLastContact) {
  (void)list({"r1"});
  nodes.record_failure(id("r1"));
  (void)list({});
  nodes.record_failure(id("r1"));
  (void)list({"r1"});
  EXPECT_FALSE(nodes.suspected(id("r1")));
  EXPECT_EQ(nodes.last_answer(id("r1")), std::nullopt);
}

}  // namespace
}  // namespace lemonroute::test
