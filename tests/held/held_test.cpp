// Rule 5 on drawn schedules of overlapping faults, judged at the nodes (docs/held-state.md).
//
//   LEMONROUTE_HELD_SCHEDULES=20000 held_state_tests                      more of them
//   LEMONROUTE_HELD_SEED=17 held_state_tests                              one alone, with its trace
//   LEMONROUTE_HELD_SEED=17 LEMONROUTE_HELD_STEPS=0,4,9 held_state_tests  only those of its steps
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "held/world.h"

namespace lemonroute::held {
namespace {

constexpr std::uint64_t usual_schedules = 600;

std::uint64_t number(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : usual;
}

using Steps = std::vector<std::size_t>;  // which ones of a schedule are played

Steps chosen(std::size_t all) {
  Steps steps;
  if (const char* text = std::getenv("LEMONROUTE_HELD_STEPS")) {
    std::istringstream in(text);
    for (std::string one; std::getline(in, one, ',');)
      steps.push_back(std::stoul(one));
    return steps;
  }
  for (std::size_t i = 0; i < all; ++i)
    steps.push_back(i);
  return steps;
}

Schedule only(const Schedule& schedule, const Steps& steps) {
  Schedule part = schedule;
  part.steps.clear();
  for (const std::size_t i : steps)
    part.steps.push_back(schedule.steps.at(i));
  return part;
}

// Leaves out steps for as long as the rule still breaks.
Steps shrunk(const Schedule& schedule, Steps steps) {
  Seen seen;
  for (std::size_t size = steps.size() / 2; size > 0; size /= 2)
    for (std::size_t from = 0; from < steps.size();) {
      Steps fewer = steps;
      const auto begin = fewer.begin() + static_cast<std::ptrdiff_t>(from);
      fewer.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(size, steps.size() - from)));
      if (!World(only(schedule, fewer), seen).run().empty())
        steps = std::move(fewer);
      else
        from += size;
    }
  return steps;
}

std::string story(const Schedule& schedule, const Steps& steps) {
  const Schedule part = only(schedule, steps);
  Seen seen;
  World world(part, seen);
  std::ostringstream text;
  const std::string broken = world.run();
  text << broken << "\nplay it again: LEMONROUTE_HELD_SEED=" << schedule.seed << " LEMONROUTE_HELD_STEPS=";
  for (std::size_t i = 0; i < steps.size(); ++i)
    text << (i ? "," : "") << steps[i];
  text << "\n"
       << part.routers << " routers, release within "
       << part.settings.reservation_release_timeout.count() / 1000 << " ms, attempts may "
       << (part.settings.cancellation_allowed ? "" : "not ") << "be called off\n";
  for (const std::string& line : world.trace())
    text << "  " << line << "\n";
  return text.str();
}

TEST(HeldState, IsTakenOrReleasedInTimeAsNodesSeeIt) {
  logging::set_level(logging::Level::error);
  const auto seed = number("LEMONROUTE_HELD_SEED", 0);
  const auto last = seed ? seed : number("LEMONROUTE_HELD_SCHEDULES", usual_schedules);
  Seen seen;
  std::uint64_t broken = 0;
  for (auto one = seed ? seed : 1; one <= last; ++one) {
    const Schedule schedule = draw_schedule(one);
    const Steps steps = chosen(schedule.steps.size());
    if (seed)
      std::cout << story(schedule, steps);
    if (World(only(schedule, steps), seen).run().empty())
      continue;
    if (++broken == 1)
      ADD_FAILURE() << "seed " << one << ": " << story(schedule, shrunk(schedule, steps));
  }
  EXPECT_EQ(broken, 0u) << "of " << last << " schedules";
  std::cout << "granted " << seen.granted << " (" << seen.granted_at_close << " at a close), taken "
            << seen.taken << ", served " << seen.served << ", refused " << seen.refused << ", failed "
            << seen.failed << ", swallowed " << seen.swallowed << ", delayed " << seen.delayed
            << ", released " << seen.released << ", released while waited for " << seen.released_waiting
            << ", state lost " << seen.lost_state << "\n";
  if (seed || last < usual_schedules)
    return;
  // The dangerous paths were walked, each of them often.
  EXPECT_GT(seen.granted, 3000);
  EXPECT_GT(seen.granted_at_close, 100);
  EXPECT_GT(seen.taken, 1000);
  EXPECT_GT(seen.swallowed, 500);
  EXPECT_GT(seen.delayed, 300);
  EXPECT_GT(seen.released, 1000);
}

}  // namespace
}  // namespace lemonroute::held
