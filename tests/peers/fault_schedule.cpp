#include "fault_schedule.h"

#include <algorithm>
#include <cmath>

#include "peers/membership/limits.h"

namespace lemonroute::peers {
namespace {

using namespace std::chrono_literals;
using membership::Random;

std::size_t random_size(Random& random) {
  const auto kind = random.below(20);
  if (kind < 13)
    return 2 + random.below(11);
  return kind < 19 ? 13 + random.below(18) : 31 + random.below(50);
}

Link random_link(Random& random) {
  Link link;
  link.latency = Micros(1000 + random.below(60'000));
  link.jitter = Micros(random.below(60'000));
  link.loss = random.below(3) ? 0 : random.below(10) / 100.0;
  link.duplication = random.below(2) * 0.05;
  link.reordering = random.below(2) * 0.1;
  link.corruption = random.below(3) ? 0 : 0.02;
  return link;
}

Simulation::Members random_subset(Random& random, std::size_t members) {
  Simulation::Members subset;
  for (std::size_t member = 0; member < members; ++member)
    if (random.below(2))
      subset.push_back(member);
  return subset;
}

Simulation::Members complement(const Simulation::Members& subset, std::size_t members) {
  Simulation::Members rest;
  for (std::size_t member = 0; member < members; ++member)
    if (std::find(subset.begin(), subset.end(), member) == subset.end())
      rest.push_back(member);
  return rest;
}

void partition_in_three(Simulation& simulation, Random& random) {
  Simulation::Members parts[3];
  for (std::size_t member = 0; member < simulation.size(); ++member)
    parts[random.below(3)].push_back(member);
  std::vector<std::size_t> partitions;
  for (int part = 0; part < 3; ++part)
    partitions.push_back(simulation.partition(parts[part], parts[(part + 1) % 3]));
  simulation.run_periods(random.below(40));
  random.shuffle(partitions);
  for (const auto partition : partitions) {
    simulation.heal(partition);
    simulation.run_periods(random.below(15));
  }
}

void take_random_action(Simulation& simulation, Random& random) {
  const auto member = random.below(simulation.size());
  switch (random.below(16)) {
    case 0:
      return simulation.kill(member);
    case 1:
      return simulation.start(member);
    case 2:
      return simulation.restart(member);
    case 3:
      return simulation.freeze(member);
    case 4:
      return simulation.resume(member);
    case 5:
      return simulation.set_extra_latency(member, Micros(random.below(800'000)));
    case 6:
      return simulation.set_loss(member, 0.3);
    case 7: {
      const auto subset = random_subset(random, simulation.size());
      simulation.partition(subset, complement(subset, simulation.size()));  // two random halves
      return;
    }
    case 8: {
      const auto subset = random_subset(random, simulation.size());
      simulation.partition(subset, complement(subset, simulation.size()), false);
      return;
    }
    case 9:
      simulation.partition({member}, complement({member}, simulation.size()), random.below(2));
      return;
    case 10:
      return partition_in_three(simulation, random);
    case 11:
      for (const auto restarted : random_subset(random, simulation.size()))
        simulation.restart(restarted);
      return;
    case 12:
      for (std::size_t killed = 0; killed < simulation.size(); ++killed)
        simulation.kill(killed);
      return simulation.start_all();
    case 13:
      return simulation.leave(member);
    case 14:
      simulation.set_clock(member, Micros(random.below(86'400'000)) * 1000 - 12h,
                           (random.below(41) - 20.0) / 1000);
      return simulation.restart(member);
    case 15:
      return simulation.heal_all();
  }
}

// The bound allows one answer for each ping, probe request and exchange, besides the datagrams that a router
// sends on its own.
std::size_t max_datagrams_per_period(std::size_t members) {
  return 64 + 36 + 6 * members + 512;
}

// Returns a message of the first exceeded bound; empty: none.
std::string exceeded_bound(const Simulation& simulation) {
  for (std::size_t member = 0; member < simulation.size(); ++member) {
    const auto& traffic = simulation.traffic(member);
    if (traffic.largest_bytes > membership::limits::max_plain_bytes)
      return "a datagram is too long";
    if (traffic.max_per_period > max_datagrams_per_period(simulation.size()))
      return simulation.name(member) + " sends too many datagrams in a period";
    if (simulation.running(member) && simulation.agent(member).view().members.size() > simulation.size())
      return simulation.name(member) + " knows more members than were ever added";
  }
  return "";
}

}  // namespace

double max_convergence_periods(std::size_t members) {
  return 40 + 30 * std::ceil(std::log10(static_cast<double>(members) + 1));
}

ScheduleResult run_schedule(std::uint64_t seed) {
  Random random(seed * 2 + 1);
  Simulation::Settings settings;
  settings.seed = seed;
  settings.link = random_link(random);
  settings.seed_members = 1 + random.below(3);
  Simulation simulation(settings);
  ScheduleResult result;
  result.members = random_size(random);
  simulation.add_many(result.members, 1 + random.below(4));
  const auto failed = [&](std::string why) {
    result.why = std::move(why);
    result.trace = simulation.trace();
    result.digest = simulation.digest();
    return result;
  };

  for (std::size_t member = 0; member < result.members; ++member) {
    simulation.start(member);
    if (random.below(4) == 0)
      simulation.run_for(Micros(random.below(2'000'000)));
  }
  simulation.run_periods(random.below(20));
  for (auto faults_left = 2 + random.below(9); faults_left > 0; --faults_left) {
    take_random_action(simulation, random);
    simulation.run_periods(random.below(20));
    if (auto why = exceeded_bound(simulation); !why.empty())
      return failed(why);
  }

  simulation.heal_all();
  settings.link.loss = settings.link.corruption = 0;
  simulation.set_link(settings.link);
  bool a_seed_runs = false;
  for (std::size_t member = 0; member < settings.seed_members && member < simulation.size(); ++member)
    a_seed_runs |= simulation.running(member);
  if (!a_seed_runs)
    simulation.start(0);  // without a running seed, members that have not joined yet can't find the others
  std::string why;
  const double max_periods = max_convergence_periods(result.members);
  for (double elapsed = 0; elapsed < max_periods + 10; ++elapsed) {
    const bool converged = simulation.converged(&why);
    if (!converged && elapsed > max_periods)
      return failed("the views differ: " + why);
    if (!converged)
      result.convergence_periods = elapsed + 1;
    simulation.run_periods(1);
  }
  if (simulation.count_false_gone() > 0)
    return failed("a running member is held to be gone");
  if (why = exceeded_bound(simulation); !why.empty())
    return failed(why);
  result.passed = true;
  result.trace = simulation.trace();
  result.digest = simulation.digest();
  return result;
}

}  // namespace lemonroute::peers
