// What one router of hundreds can know of a fleet: openings and homes.
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

// ---- Openings ----

TEST(Openings, FewArrivalsTellThatOpeningsArePopular) {
  PrefixPopularity few, many;
  std::mt19937 random(1);
  std::discrete_distribution<int> popular({20, 10, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5});
  for (int i = 0; i < 15; ++i)
    few.record_arrival(1 + static_cast<Key>(popular(random)));
  for (int i = 0; i < 15; ++i)
    many.record_arrival(static_cast<Key>(1000 + i));  // never the same twice
  few.record_arrival(99);
  many.record_arrival(99);
  EXPECT_GT(few.share(99), 2 * many.share(99))
      << "an opening not seen before, where openings are shared a lot";
}

// The estimate comes to the true part as arrivals come, whatever the popularity, and stays a part at any
// time.
TEST(Openings, ComesToTheTruePart) {
  for (const double exponent : {0.6, 1.0, 1.3}) {
    std::vector<double> weights;
    for (int i = 1; i <= 40; ++i)
      weights.push_back(std::pow(i, -exponent));
    const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::mt19937 random(7);
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    PrefixPopularity openings;
    double sum = 0;
    int counted = 0;
    for (int i = 0; i < 6000; ++i) {
      openings.record_arrival(1 + static_cast<Key>(draw(random)));
      ASSERT_GT(openings.share(1), 0);
      ASSERT_LE(openings.share(1), 1);
      ASSERT_LE(openings.tracked_prefixes(), 2 * PrefixPopularity::max_arrivals);
      if (i < 1000)
        continue;
      sum += openings.share(1);
      ++counted;
    }
    EXPECT_NEAR(sum / counted, weights[0] / all, 0.15 * weights[0] / all) << "exponent " << exponent;
  }
}

TEST(Openings, EndlessNewOnesAreForgotten) {
  PrefixPopularity openings;
  for (Key key = 1; key < 100000; ++key)
    openings.record_arrival(key);
  EXPECT_LE(openings.tracked_prefixes(), 2 * PrefixPopularity::max_arrivals);
}

// ---- Homes ----

std::vector<WeightedNode> members(const std::vector<int>& of_zone, EndpointId from = 100) {
  std::vector<WeightedNode> all;
  for (std::uint32_t zone = 0; zone < of_zone.size(); ++zone)
    for (int i = 0; i < of_zone[zone]; ++i)
      all.push_back({from * (zone + 1) + static_cast<EndpointId>(i), zone});
  return all;
}
std::uint32_t zone_of(EndpointId id) {
  return id / 100 - 1;
}

// Of 1,000 openings, those at home in each zone.
std::vector<int> spread(RouterLocation seat, const std::vector<int>& readers,
                        const std::vector<int>& writers) {
  std::vector<int> of_zone(readers.size());
  for (Key opening = 1; opening <= 1000; ++opening)
    ++of_zone[zone_of(
        affinity_nodes(opening, opening, 0, seat, members(readers), members(writers, 1000)).front())];
  return of_zone;
}

TEST(Homes, AZoneKeepsWhatItsReadersAndWritersBear) {
  struct Row {
    const char* what;
    RouterLocation seat;
    std::vector<int> readers, writers, expected;
  };
  const Row rows[] = {
      {"each zone its part: all stay", {2, 300}, {10, 10, 12}, {9, 9, 9}, {0, 0, 1000}},
      {"a fifth of what a third of the traffic needs", {0, 300}, {2, 14, 14}, {10, 10, 10}, {200, 400, 400}},
      {"its writers have gone", {1, 300}, {5, 5, 5}, {8, 0, 8}, {500, 0, 500}},
      {"no reader here", {3, 300}, {5, 5, 0}, {5, 5, 5}, {500, 500, 0}},
      {"one of two routers has two thirds here", {1, 2}, {10, 10, 10}, {9, 9, 9}, {250, 500, 250}},
      {"the only router", {0, 1}, {10, 10}, {10, 10}, {500, 500}},
      {"the only zone", {0, 1}, {7}, {7}, {1000}},
      {"no writer anywhere", {0, 300}, {5, 5}, {0, 0}, {1000, 0}},
      {"a zone that is not told of", {9, 300}, {6, 6}, {6, 6}, {500, 500}},
  };
  for (const auto& row : rows) {
    const auto found = spread(row.seat, row.readers, row.writers);
    for (std::size_t zone = 0; zone < found.size(); ++zone)
      EXPECT_NEAR(found[zone], row.expected[zone], 60) << row.what << ", zone " << zone;
  }
}

TEST(Homes, AColdZoneBearsItsPartOnly) {
  auto readers = members({10, 10});
  for (auto& one : readers)
    if (one.zone == 0)
      one.relative_capacity = 0.25;
  int here = 0;
  for (Key opening = 1; opening <= 1000; ++opening)
    here += zone_of(affinity_nodes(opening, 1, 0, {0, 300}, readers, members({5, 5}, 1000)).front()) == 0;
  EXPECT_NEAR(here, 400, 60);  // 2.5 of 12.5 readers, for half of the traffic
}

// Routers that count homes differently agree for most sessions; each opening's sessions spread evenly over
// its homes; and as many homes as the opening would half fill are given.
TEST(Homes, AgreeSpreadAndGrowWithThePart) {
  const auto all = members({16, 16}), writers = members({9, 9}, 1000);
  std::map<EndpointId, int> first;
  int agreed = 0;
  for (Key session = 1; session <= 2000; ++session) {
    const auto few = affinity_nodes(42, session, 0.1, {0, 300}, all, writers);
    const auto more = affinity_nodes(42, session, 0.15, {0, 300}, all, writers);
    ASSERT_EQ(few.size(), 4u);  // 2 * 0.1 * 16, rounded up
    ASSERT_EQ(more.size(), 5u);
    ++first[few.front()];
    agreed += few.front() == more.front();
  }
  EXPECT_GT(agreed, 2000 * 0.75);
  for (const auto& [id, count] : first)
    EXPECT_NEAR(count, 500, 100);
  EXPECT_EQ(affinity_nodes(42, 1, 1, {0, 300}, all, writers).size(), 16u);
  EXPECT_EQ(affinity_nodes(42, 1, 0, {0, 300}, all, writers).size(), 1u);
  EXPECT_TRUE(affinity_nodes(42, 1, 0.1, {0, 300}, {}, writers).empty());
}

TEST(Homes, OneReaderLessMovesOnlyItsOwnOpenings) {
  auto all = members({12});
  auto without = all;
  const EndpointId gone = without.back().id;
  without.pop_back();
  for (Key opening = 1; opening < 500; ++opening) {
    const auto before = affinity_nodes(opening, opening, 0, {}, all, {}).front();
    if (before != gone) {
      EXPECT_EQ(affinity_nodes(opening, opening, 0, {}, without, {}).front(), before);
    }
  }
}

}  // namespace
}  // namespace lemonroute::estimation
