// Failures that membership must handle, each with 3 and 24 members, in the simulation.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fault_schedule.h"
#include "peers/membership/limits.h"
#include "peers/wire/packet.h"

namespace lemonroute::peers {
namespace {

using namespace std::chrono_literals;
using Members = Simulation::Members;

class FailureCase : public testing::TestWithParam<std::size_t> {
 protected:
  FailureCase() : simulation({.seed = GetParam()}) {
    members = simulation.add_many(GetParam(), 3);
    simulation.start_all();
    EXPECT_TRUE(expect_convergence());
  }
  // Runs until all views agree, and returns the periods that took; fails if it takes too long.
  std::optional<double> expect_convergence() {
    std::string why;
    const auto converged_after = simulation.run_until([&] { return simulation.converged(&why); },
                                                      max_convergence_periods(members.size()));
    EXPECT_TRUE(converged_after) << why;
    return converged_after;
  }
  // Returns every `stride`th member, from member `first` on.
  Members every(std::size_t stride, std::size_t first) const {
    Members selected;
    for (const auto member : members)
      if (member % stride == first)
        selected.push_back(member);
    return selected;
  }
  const Member& seen(std::size_t observer, std::size_t subject) {
    return *simulation.agent(observer).view().find(simulation.name(subject));
  }
  std::uint64_t counter(std::size_t member, const char* name) {
    return simulation.agent(member).describe(simulation.local_time(member))["counters"][name];
  }

  Simulation simulation;
  Members members;
};
INSTANTIATE_TEST_SUITE_P(sizes, FailureCase, testing::Values(3, 24));

TEST_P(FailureCase, killed_member_is_gone_in_all_views_with_time_and_detecting_member) {
  simulation.kill(1);
  const auto converged_after = expect_convergence();
  EXPECT_LE(*converged_after, 20);
  const Member& gone = seen(0, 1);
  EXPECT_EQ(gone.standing, Standing::gone);
  EXPECT_NE(gone.reported_by, "");
  EXPECT_NE(gone.reported_by, simulation.name(1));
  EXPECT_LT(gone.standing_since, simulation.local_time(0));
  EXPECT_EQ(simulation.agent(0).view().known_count, members.size());
}

TEST_P(FailureCase, frozen_member_is_given_up_and_holds_nobody_gone_after_it_resumes) {
  simulation.freeze(1);
  simulation.run_periods(40);
  EXPECT_EQ(seen(0, 1).standing, Standing::gone);
  simulation.resume(1);
  EXPECT_EQ(counter(1, "gone"), 0u);
  expect_convergence();
  EXPECT_EQ(counter(1, "gone"), 0u);
}

TEST_P(FailureCase, members_with_latency_or_loss_are_not_given_up) {
  simulation.set_extra_latency(1, 200ms);
  simulation.run_periods(60);
  simulation.set_extra_latency(1, 0ms);
  simulation.set_loss(1, 0.3);
  for (int period = 0; period < 100; ++period, simulation.run_periods(1))
    ASSERT_EQ(simulation.count_false_gone(), 0u) << period;
  simulation.heal_all();
  expect_convergence();
}

TEST_P(FailureCase, a_partitioned_site_knows_since_when_it_is_a_minority) {
  const auto site = every(3, 0);
  Members rest = every(3, 1);
  for (const auto member : every(3, 2))
    rest.push_back(member);
  simulation.partition(site, rest);
  simulation.run_periods(60);
  for (const auto member : site) {
    ASSERT_TRUE(simulation.agent(member).view().minority_since);
    EXPECT_LT(*simulation.agent(member).view().minority_since, simulation.local_time(member));
    EXPECT_EQ(simulation.agent(member).view().live_count(), site.size());
  }
  for (const auto member : rest)
    EXPECT_FALSE(simulation.agent(member).view().minority_since);
  simulation.heal_all();
  expect_convergence();
  simulation.run_periods(1);
  for (const auto member : site)
    EXPECT_FALSE(simulation.agent(member).view().minority_since);
}

TEST_P(FailureCase, converges_after_a_one_way_a_two_way_and_a_three_way_partition) {
  simulation.partition(every(2, 0), every(2, 1), false);
  simulation.run_periods(50);
  simulation.heal_all();
  expect_convergence();
  simulation.partition(every(2, 0), every(2, 1));
  simulation.run_periods(100);
  simulation.heal_all();
  expect_convergence();
  const auto first = simulation.partition(every(3, 0), every(3, 1)),
             second = simulation.partition(every(3, 1), every(3, 2)),
             third = simulation.partition(every(3, 2), every(3, 0));
  simulation.run_periods(60);
  for (const auto partition : {second, third, first}) {
    simulation.heal(partition);
    simulation.run_periods(10);
  }
  expect_convergence();
}

TEST_P(FailureCase, converges_after_restarts_of_half_or_all_members_and_with_wrong_clocks) {
  for (const auto member : every(2, 0))
    simulation.restart(member);
  expect_convergence();
  for (const auto member : members)
    simulation.kill(member);
  simulation.start_all();
  expect_convergence();
  simulation.set_clock(0, -24h * 400, 0.02);
  simulation.set_clock(1, 24h * 400, -0.02);
  simulation.restart(0);
  simulation.restart(1);
  expect_convergence();
  simulation.run_periods(100);
  EXPECT_TRUE(simulation.converged());
}

TEST_P(FailureCase, member_restarts_with_another_address_and_a_member_that_left_is_not_expected) {
  simulation.kill(1);
  simulation.change_address(1, "10.9.9.9:7946");
  simulation.start(1);
  expect_convergence();
  EXPECT_EQ(seen(0, 1).address, "10.9.9.9:7946");
  simulation.leave(1);
  simulation.run_periods(3);
  EXPECT_EQ(seen(0, 1).standing, Standing::left);
  EXPECT_EQ(simulation.agent(0).view().known_count, members.size() - 1);
  expect_convergence();
}

// During an upgrade the views have the newer process. The older one is silent, and reclaims the name if the
// newer process ends.
TEST_P(FailureCase, newer_of_two_processes_with_one_name_holds_it_until_it_ends) {
  const auto newer = simulation.add(simulation.name(1), "site1");
  simulation.start(newer);
  const auto all_see_process = [&](std::size_t process) {
    return simulation.run_until(
        [&] {
          for (std::size_t member = 0; member < simulation.size(); ++member)
            if (simulation.running(member) && seen(member, 1).address != simulation.address(process))
              return false;
          return true;
        },
        20);
  };
  EXPECT_TRUE(all_see_process(newer));
  simulation.run_periods(10);
  EXPECT_EQ(counter(0, "names_twice"), 0u) << "an upgrade is not a duplicate name";
  EXPECT_EQ(counter(1, "superseded"), 1u);
  simulation.run_periods(membership::limits::duplicate_name_periods +
                         3.0 * static_cast<double>(members.size()));
  EXPECT_EQ(counter(newer, "names_twice"), 1u) << "a duplicate name is counted once";
  EXPECT_TRUE(all_see_process(newer));
  simulation.leave(newer);
  EXPECT_TRUE(all_see_process(1));
}

TEST_P(FailureCase, member_that_only_one_other_cannot_reach_is_unreachable_there_and_not_gone) {
  if (members.size() < 4)
    return;  // at least two other members must reach both
  simulation.partition({0}, {1}, true);
  const auto marked_unreachable = simulation.run_until([&] { return seen(0, 1).unreachable_from_here; }, 200);
  EXPECT_TRUE(marked_unreachable);
  EXPECT_TRUE(seen(0, 1).is_live());
  EXPECT_FALSE(seen(2, 1).unreachable_from_here);
  simulation.heal_all();
  EXPECT_TRUE(simulation.run_until([&] { return !seen(0, 1).unreachable_from_here; }, 100));
}

// A sender with the right key spreads false facts in the name of a real member. The others must probe the
// members that it accuses, but must not give them up.
TEST_P(FailureCase, false_facts_from_a_member_with_the_key_remove_no_running_member) {
  const Member impersonated = seen(0, 2);
  Members others = members;
  std::erase(others, 2u);
  const auto send_false_facts = [&](Standing standing, std::uint64_t incarnation,
                                    std::uint64_t start_offset) {
    wire::Packet packet{{impersonated.name,
                         impersonated.site,
                         impersonated.address,
                         impersonated.start,
                         impersonated.incarnation,
                         {},
                         ""},
                        wire::Facts{},
                        {}};
    for (const auto member : others) {
      const Member& real = seen(0, member);
      packet.facts.push_back({real.name, real.site, real.address, real.start + start_offset, incarnation,
                              standing, impersonated.name});
    }
    for (const auto member : others)
      simulation.inject(simulation.address(member), wire::encode(packet));
  };
  for (const auto standing : {Standing::suspected, Standing::gone})
    for (const std::uint64_t incarnation :
         {std::uint64_t{0}, std::uint64_t{100}, std::uint64_t{membership::limits::max_incarnation}})
      for (int period = 0; period < 5; ++period) {
        send_false_facts(standing, incarnation, 0);
        simulation.run_periods(1);
        ASSERT_EQ(simulation.count_false_gone(), 0u)
            << "period " << period << ", incarnation " << incarnation;
      }
  for (int period = 0; period < 5; ++period) {
    send_false_facts(Standing::alive, 0, 1 + static_cast<std::uint64_t>(period));
    send_false_facts(Standing::gone, 0, 3'000'000'000'000);  // a start time weeks ahead must be rejected
    send_false_facts(Standing::left, 5, 0);
    for (int number = 0; number < 100; ++number) {
      wire::Packet from_unknown{
          {"ghost" + std::to_string(number), "", "10.66.0.1:1", 1, 0, {}, ""}, wire::Facts{}, {}};
      simulation.inject(simulation.address(0), wire::encode(from_unknown));
    }
    simulation.run_periods(1);
  }
  EXPECT_GT(counter(1, "implausible"), 0u);
  const auto max_periods =
      max_convergence_periods(members.size() + 100) + 400;  // the 100 members that don't exist are probed too
  std::string why;
  EXPECT_TRUE(simulation.run_until([&] { return simulation.converged(&why); }, max_periods)) << why;
}

TEST_P(FailureCase, extension_payloads_arrive_by_member_name_after_the_first_view) {
  struct QuestionExtension : Extension {
    Topic topic() const override { return Topic::pools; }
    void on_view_change(Micros, const View& view) override { members_seen = view.live_count(); }
    void receive(Micros, std::string_view from, std::string_view bytes, Outbox& out) override {
      EXPECT_GT(members_seen, 0u);
      ++received;
      if (bytes == "question")
        out.send(Topic::pools, from, "answer");
    }
    void run_due(Micros now, Outbox& out) override {
      due_at = now + 1s;
      out.send(Topic::pools, "c0", "question");
      out.send(Topic::pools, "nobody", "question");
      out.send(Topic::pools, "c0", std::string(Outbox::max_payload_bytes + 1, 'x'));
    }
    Micros next_due() const override { return due_at; }
    nlohmann::json describe(Micros) const override { return {{"received", received}}; }
    std::uint32_t members_seen = 0, received = 0;
    Micros due_at{};
  };
  simulation.set_extension_factory([](std::size_t) {
    std::vector<std::unique_ptr<Extension>> extensions;
    extensions.push_back(std::make_unique<QuestionExtension>());
    return extensions;
  });
  for (const auto member : members)
    simulation.restart(member);
  simulation.run_periods(10);
  EXPECT_EQ(static_cast<QuestionExtension&>(simulation.extension(1, Topic::pools)).members_seen,
            members.size());
  EXPECT_GE(simulation.agent(1).describe(simulation.local_time(1))["pools"]["received"], 5);
  EXPECT_GE(counter(1, "payloads_dropped"), 18u);
}

}  // namespace
}  // namespace lemonroute::peers
