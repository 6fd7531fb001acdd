// Checks the rules on random schedules with random settings; each seed gives the same schedule in each run.
//
//   LEMONROUTE_SCHEDULES=100000 core_property_tests     runs the seeds from 1 to 100000
//   LEMONROUTE_SEED=17 core_property_tests              runs one seed, with debug logging
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "core/schedule_simulation.h"

namespace lemonroute::property {
namespace {

std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : default_value;
}

TEST(Property, RulesHoldOnRandomSchedules) {
  logging::set_level(logging::Level::error);
  const auto single_seed = number_from_environment("LEMONROUTE_SEED", 0);
  if (single_seed)
    logging::set_level(logging::Level::debug);
  Coverage coverage;
  const auto last_seed = single_seed ? single_seed : number_from_environment("LEMONROUTE_SCHEDULES", 4000);
  for (std::uint64_t seed = single_seed ? single_seed : 1; seed <= last_seed; ++seed)
    ASSERT_EQ(ScheduleSimulation(seed, coverage).run(), "") << "seed " << seed;
  std::cout << "served " << coverage.served << ", rejected " << coverage.rejected << ", failed "
            << coverage.failed << ", aborted " << coverage.aborted << ", client disconnected "
            << coverage.disconnected << " (" << coverage.disconnected_before_send
            << " before their attempt was sent), unsent attempts closed " << coverage.unsent_closed
            << ", repeats " << coverage.repeats << ", with an idempotency key " << coverage.repeats_with_key
            << ", sent to nodes that are not ready " << coverage.sent_to_unready_nodes
            << ", reservation missing " << coverage.reservation_missing << ", reading paused "
            << coverage.reading_paused << ", settings changed with open requests "
            << coverage.settings_changed_with_open_requests << ", shutdown deadlines "
            << coverage.shutdown_deadlines << ", released " << coverage.released << ", late connections "
            << coverage.late_connections << ", partitions " << coverage.partitions
            << ", prefills completed after silence " << coverage.completed_after_silence << "\n";
  if (single_seed || last_seed < 4000)
    return;
  // Each path that could break a rule was taken often.
  EXPECT_GT(coverage.served, 2000);
  EXPECT_GT(coverage.rejected, 5000);
  EXPECT_GT(coverage.failed, 3000);
  EXPECT_GT(coverage.aborted, 800);
  EXPECT_GT(coverage.disconnected_before_send, 1000);
  EXPECT_GT(coverage.unsent_closed, 2000);
  EXPECT_GT(coverage.repeats, 300);
  EXPECT_GT(coverage.repeats_with_key, 150);
  EXPECT_GT(coverage.sent_to_unready_nodes, 500);
  EXPECT_GT(coverage.reservation_missing, 300);
  EXPECT_GT(coverage.reading_paused, 500);
  EXPECT_GT(coverage.settings_changed_with_open_requests, 500);
  EXPECT_GT(coverage.shutdown_deadlines, 300);
  EXPECT_GT(coverage.released, 5000);
  EXPECT_GT(coverage.late_connections, 3000);
  EXPECT_GT(coverage.partitions, 1000);
  EXPECT_GT(coverage.completed_after_silence, 50);
}

}  // namespace
}  // namespace lemonroute::property
