// The rules hold on drawn schedules, with settings drawn as well: a few thousand of them, the same each time.
//
//   LEMONROUTE_SCHEDULES=100000 core_property_tests     more of them
//   LEMONROUTE_SEED=17 core_property_tests              one alone, with the log
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "core/play.h"

namespace lemonroute::property {
namespace {

std::uint64_t number(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : usual;
}

TEST(Property, TheRulesHoldOnDrawnSchedules) {
  logging::set_level(logging::Level::error);
  const auto only = number("LEMONROUTE_SEED", 0);
  if (only)
    logging::set_level(logging::Level::debug);
  Seen seen;
  const auto last = only ? only : number("LEMONROUTE_SCHEDULES", 4000);
  for (std::uint64_t seed = only ? only : 1; seed <= last; ++seed)
    ASSERT_EQ(Play(seed, seen).run(), "") << "seed " << seed;
  std::cout << "served " << seen.served << ", refused " << seen.refused << ", failed " << seen.failed
            << ", cut " << seen.cut << ", left " << seen.left << " (" << seen.left_waiting
            << " before their attempt left), unsent dropped " << seen.unsent_dropped << ", repeats "
            << seen.repeats << ", of keyed ones " << seen.keyed_repeats << ", to leaving nodes "
            << seen.to_leaving << ", state lost " << seen.lost_state << ", held back " << seen.held_back
            << ", retuned while open " << seen.retuned_open << ", waits ended " << seen.ended_early
            << ", released " << seen.released << ", late connections " << seen.late_connections << ", cuts "
            << seen.cuts << ", reads ended after a hang " << seen.ended_after_hang << "\n";
  if (only || last < 4000)
    return;
  // The dangerous paths were walked, each of them often.
  EXPECT_GT(seen.served, 2000);
  EXPECT_GT(seen.refused, 5000);
  EXPECT_GT(seen.failed, 3000);
  EXPECT_GT(seen.cut, 800);
  EXPECT_GT(seen.left_waiting, 1000);
  EXPECT_GT(seen.unsent_dropped, 2000);
  EXPECT_GT(seen.repeats, 300);
  EXPECT_GT(seen.keyed_repeats, 150);
  EXPECT_GT(seen.to_leaving, 500);
  EXPECT_GT(seen.lost_state, 300);
  EXPECT_GT(seen.held_back, 500);
  EXPECT_GT(seen.retuned_open, 500);
  EXPECT_GT(seen.ended_early, 300);
  EXPECT_GT(seen.released, 5000);
  EXPECT_GT(seen.late_connections, 3000);
  EXPECT_GT(seen.cuts, 1000);
  EXPECT_GT(seen.ended_after_hang, 50);
}

}  // namespace
}  // namespace lemonroute::property
