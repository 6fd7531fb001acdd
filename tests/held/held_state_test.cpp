// Checks rule 5, on held state, on random schedules of overlapping faults, from events at the nodes
// (docs/held-state.md).
//
//   LEMONROUTE_HELD_SCHEDULES=20000 held_state_tests                      runs the seeds from 1 to 20000
//   LEMONROUTE_HELD_SEED=17 held_state_tests                              runs one seed and prints its trace
//   LEMONROUTE_HELD_SEED=17 LEMONROUTE_HELD_STEPS=0,4,9 held_state_tests  runs only these steps of the seed
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "held/fleet_simulation.h"

namespace lemonroute::held_state {
namespace {

constexpr std::uint64_t default_schedules = 600;

std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : default_value;
}

using Steps = std::vector<std::size_t>;  // indices of the steps of a schedule that are run

Steps selected_steps(std::size_t count) {
  Steps steps;
  if (const char* text = std::getenv("LEMONROUTE_HELD_STEPS")) {
    std::istringstream in(text);
    for (std::string index; std::getline(in, index, ',');)
      steps.push_back(std::stoul(index));
    return steps;
  }
  for (std::size_t i = 0; i < count; ++i)
    steps.push_back(i);
  return steps;
}

Schedule with_steps(const Schedule& schedule, const Steps& steps) {
  Schedule part = schedule;
  part.steps.clear();
  for (const std::size_t i : steps)
    part.steps.push_back(schedule.steps.at(i));
  return part;
}

// Removes steps as long as the rest still violates the rule.
Steps shrink(const Schedule& schedule, Steps steps) {
  Coverage coverage;
  for (std::size_t size = steps.size() / 2; size > 0; size /= 2)
    for (std::size_t from = 0; from < steps.size();) {
      Steps fewer = steps;
      const auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(from);
      fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(size, steps.size() - from)));
      if (!FleetSimulation(with_steps(schedule, fewer), coverage).run().empty())
        steps = std::move(fewer);
      else
        from += size;
    }
  return steps;
}

std::string report(const Schedule& schedule, const Steps& steps) {
  const Schedule part = with_steps(schedule, steps);
  Coverage coverage;
  FleetSimulation simulation(part, coverage);
  std::ostringstream text;
  const std::string violation = simulation.run();
  text << violation << "\nreplay with: LEMONROUTE_HELD_SEED=" << schedule.seed << " LEMONROUTE_HELD_STEPS=";
  for (std::size_t i = 0; i < steps.size(); ++i)
    text << (i ? "," : "") << steps[i];
  text << "\n"
       << part.routers << " routers, release timeout "
       << part.settings.reservation_release_timeout.count() / 1000 << " ms, attempts can "
       << (part.settings.cancellation_allowed ? "" : "not ") << "be cancelled\n";
  for (const std::string& line : simulation.trace())
    text << "  " << line << "\n";
  return text.str();
}

TEST(HeldState, ReservationsAreTakenOrReleasedInTime) {
  logging::set_level(logging::Level::error);
  const auto single_seed = number_from_environment("LEMONROUTE_HELD_SEED", 0);
  const auto last_seed =
      single_seed ? single_seed : number_from_environment("LEMONROUTE_HELD_SCHEDULES", default_schedules);
  Coverage coverage;
  std::uint64_t violations = 0;
  for (auto seed = single_seed ? single_seed : 1; seed <= last_seed; ++seed) {
    const Schedule schedule = random_schedule(seed);
    const Steps steps = selected_steps(schedule.steps.size());
    if (single_seed)
      std::cout << report(schedule, steps);
    if (FleetSimulation(with_steps(schedule, steps), coverage).run().empty())
      continue;
    if (++violations == 1)
      ADD_FAILURE() << "seed " << seed << ": " << report(schedule, shrink(schedule, steps));
  }
  EXPECT_EQ(violations, 0u) << "of " << last_seed << " schedules";
  std::cout << "reserved " << coverage.reserved << " (" << coverage.reserved_after_close
            << " after a close), taken " << coverage.taken << ", served " << coverage.served << ", rejected "
            << coverage.rejected << ", failed " << coverage.failed << ", lost transmissions "
            << coverage.lost_transmissions << ", delayed transmissions " << coverage.delayed_transmissions
            << ", released " << coverage.released << ", released during a decode "
            << coverage.release_during_decode << ", reservation missing " << coverage.reservation_missing
            << "\n";
  if (single_seed || last_seed < default_schedules)
    return;
  // Each path that could break the rule was taken often.
  EXPECT_GT(coverage.reserved, 3000);
  EXPECT_GT(coverage.reserved_after_close, 100);
  EXPECT_GT(coverage.taken, 1000);
  EXPECT_GT(coverage.lost_transmissions, 500);
  EXPECT_GT(coverage.delayed_transmissions, 300);
  EXPECT_GT(coverage.released, 1000);
}

}  // namespace
}  // namespace lemonroute::held_state
