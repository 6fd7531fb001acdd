// Tests of the estimated popularity of shared prefixes, and of the prefill nodes chosen for them by hash.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <vector>

#include "estimation/prefix_popularity.h"
#include "estimation/rendezvous_hash.h"

namespace lemonroute::estimation {
namespace {

TEST(PrefixPopularity, GivesUnseenPrefixLargerShareWherePrefixesAreOftenShared) {
  PrefixPopularity often_shared;
  PrefixPopularity never_shared;
  std::mt19937 random(1);
  std::discrete_distribution<int> draw_popular({20, 10, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5});
  for (int i = 0; i < 15; ++i)
    often_shared.record_arrival(1 + static_cast<Key>(draw_popular(random)));
  for (int i = 0; i < 15; ++i)  // a new prefix each time
    never_shared.record_arrival(static_cast<Key>(1000 + i));
  often_shared.record_arrival(99);
  never_shared.record_arrival(99);
  EXPECT_GT(often_shared.share(99), 2 * never_shared.share(99))
      << "an unseen prefix gets the usual share, which is larger where prefixes are often shared";
}

// The estimate is above 0 and at most 1 at all times, also before it has settled.
TEST(PrefixPopularity, ApproachesTrueShareForAnyDistribution) {
  for (const double exponent : {0.6, 1.0, 1.3}) {
    std::vector<double> weights;
    for (int i = 1; i <= 40; ++i)
      weights.push_back(std::pow(i, -exponent));
    const double total_weight = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::mt19937 random(7);
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    PrefixPopularity popularity;
    double sum_of_shares = 0;
    int samples = 0;
    for (int i = 0; i < 6000; ++i) {
      popularity.record_arrival(1 + static_cast<Key>(draw(random)));
      ASSERT_GT(popularity.share(1), 0);
      ASSERT_LE(popularity.share(1), 1);
      ASSERT_LE(popularity.tracked_prefixes(), 2 * PrefixPopularity::max_arrivals);
      if (i < 1000)  // not settled yet
        continue;
      sum_of_shares += popularity.share(1);
      ++samples;
    }
    EXPECT_NEAR(sum_of_shares / samples, weights[0] / total_weight, 0.15 * weights[0] / total_weight)
        << "exponent " << exponent;
  }
}

TEST(PrefixPopularity, BoundsTrackedPrefixesWhenEveryArrivalHasNewPrefix) {
  PrefixPopularity popularity;
  for (Key key = 1; key < 100000; ++key)
    popularity.record_arrival(key);
  EXPECT_LE(popularity.tracked_prefixes(), 2 * PrefixPopularity::max_arrivals);
}

// Returns nodes whose ids encode their zone: first_id * (zone + 1) and up.
std::vector<WeightedNode> nodes_in_zones(const std::vector<int>& count_by_zone, EndpointId first_id = 100) {
  std::vector<WeightedNode> nodes;
  for (std::uint32_t zone = 0; zone < count_by_zone.size(); ++zone)
    for (int i = 0; i < count_by_zone[zone]; ++i)
      nodes.push_back({first_id * (zone + 1) + static_cast<EndpointId>(i), zone});
  return nodes;
}

// Returns the zone of a node from nodes_in_zones() with first_id 100.
std::uint32_t zone_of(EndpointId id) {
  return id / 100 - 1;
}

// Returns how many of 1,000 prefixes have their preferred node in each zone.
std::vector<int> prefixes_by_zone(RouterLocation location, const std::vector<int>& prefill_by_zone,
                                  const std::vector<int>& decode_by_zone) {
  const auto prefill_nodes = nodes_in_zones(prefill_by_zone);
  const auto decode_nodes = nodes_in_zones(decode_by_zone, 1000);
  std::vector<int> by_zone(prefill_by_zone.size());
  for (Key prefix = 1; prefix <= 1000; ++prefix) {
    const auto nodes = affinity_nodes(prefix, prefix, 0, location, prefill_nodes, decode_nodes);
    ++by_zone[zone_of(nodes.front())];
  }
  return by_zone;
}

TEST(AffinityNodes, KeepPrefixesInZoneUpToCapacityOfItsNodes) {
  struct ZoneCase {
    const char* description;
    RouterLocation location;
    std::vector<int> prefill_by_zone;
    std::vector<int> decode_by_zone;
    std::vector<int> expected;
  };
  const ZoneCase cases[] = {
      {"nodes for all of the zone's traffic", {2, 300}, {10, 10, 12}, {9, 9, 9}, {0, 0, 1000}},
      {"nodes for a fifth of the zone's traffic", {0, 300}, {2, 14, 14}, {10, 10, 10}, {200, 400, 400}},
      {"no decode node in the zone", {1, 300}, {5, 5, 5}, {8, 0, 8}, {500, 0, 500}},
      {"no prefill node in the zone", {3, 300}, {5, 5, 0}, {5, 5, 5}, {500, 500, 0}},
      {"one of two routers: two thirds of the traffic", {1, 2}, {10, 10, 10}, {9, 9, 9}, {250, 500, 250}},
      {"the only router", {0, 1}, {10, 10}, {10, 10}, {500, 500}},
      {"the only zone", {0, 1}, {7}, {7}, {1000}},
      {"no decode node anywhere", {0, 300}, {5, 5}, {0, 0}, {1000, 0}},
      {"a zone without any node", {9, 300}, {6, 6}, {6, 6}, {500, 500}},
  };
  for (const auto& zone_case : cases) {
    const auto found =
        prefixes_by_zone(zone_case.location, zone_case.prefill_by_zone, zone_case.decode_by_zone);
    for (std::size_t zone = 0; zone < found.size(); ++zone)
      EXPECT_NEAR(found[zone], zone_case.expected[zone], 60) << zone_case.description << ", zone " << zone;
  }
}

TEST(AffinityNodes, KeepFewerPrefixesInZoneWhoseNodesAreInSlowStart) {
  auto prefill_nodes = nodes_in_zones({10, 10});
  for (auto& node : prefill_nodes)
    if (node.zone == 0)
      node.relative_capacity = 0.25;
  const auto decode_nodes = nodes_in_zones({5, 5}, 1000);
  int in_zone = 0;
  for (Key prefix = 1; prefix <= 1000; ++prefix) {
    const auto nodes = affinity_nodes(prefix, 1, 0, {0, 300}, prefill_nodes, decode_nodes);
    in_zone += zone_of(nodes.front()) == 0;
  }
  EXPECT_NEAR(in_zone, 400, 60);  // capacity 2.5 of 12.5, for half of the traffic
}

// Routers that estimate different shares prefer the same node for most sessions. The sessions of a prefix
// spread evenly over its nodes, and there are as many nodes as the prefix would half fill.
TEST(AffinityNodes, SpreadSessionsAndAgreeForMostWhenEstimatedSharesDiffer) {
  const auto prefill_nodes = nodes_in_zones({16, 16});
  const auto decode_nodes = nodes_in_zones({9, 9}, 1000);
  std::map<EndpointId, int> sessions_by_node;
  int same_node = 0;
  for (Key session = 1; session <= 2000; ++session) {
    const auto for_small_share = affinity_nodes(42, session, 0.1, {0, 300}, prefill_nodes, decode_nodes);
    const auto for_large_share = affinity_nodes(42, session, 0.15, {0, 300}, prefill_nodes, decode_nodes);
    ASSERT_EQ(for_small_share.size(), 4u);  // 2 * 0.1 * 16, rounded up
    ASSERT_EQ(for_large_share.size(), 5u);
    ++sessions_by_node[for_small_share.front()];
    same_node += for_small_share.front() == for_large_share.front();
  }
  EXPECT_GT(same_node, 2000 * 0.75);
  for (const auto& [id, count] : sessions_by_node)
    EXPECT_NEAR(count, 500, 100);
  EXPECT_EQ(affinity_nodes(42, 1, 1, {0, 300}, prefill_nodes, decode_nodes).size(), 16u);
  EXPECT_EQ(affinity_nodes(42, 1, 0, {0, 300}, prefill_nodes, decode_nodes).size(), 1u);
  EXPECT_TRUE(affinity_nodes(42, 1, 0.1, {0, 300}, {}, decode_nodes).empty());
}

TEST(AffinityNodes, MoveOnlyPrefixesOfRemovedNode) {
  const auto all_nodes = nodes_in_zones({12});
  auto remaining_nodes = all_nodes;
  const EndpointId removed_node = remaining_nodes.back().id;
  remaining_nodes.pop_back();
  for (Key prefix = 1; prefix < 500; ++prefix) {
    const auto before = affinity_nodes(prefix, prefix, 0, {}, all_nodes, {}).front();
    if (before != removed_node) {
      EXPECT_EQ(affinity_nodes(prefix, prefix, 0, {}, remaining_nodes, {}).front(), before);
    }
  }
}

}  // namespace
}  // namespace lemonroute::estimation
