// Measures membership in the simulation and prints a table that gnuplot can read: columns separated by
// blanks, with their names in a line that begins with #.
//
// Usage: peers_measure loss | traffic | heal [SEEDS]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "fault_schedule.h"

using namespace lemonroute::peers;

namespace {

Simulation started_simulation(std::size_t members, std::uint64_t seed, Link link = {}) {
  Simulation::Settings settings;
  settings.seed = seed;
  settings.link = link;
  Simulation simulation(settings);
  simulation.add_many(members, 3);
  simulation.start_all();
  return simulation;
}

std::uint64_t total_counter(const Simulation& simulation, const char* name) {
  std::uint64_t sum = 0;
  for (std::size_t member = 0; member < simulation.size(); ++member)
    if (simulation.running(member))
      sum += simulation.agent(member)
                 .describe(simulation.local_time(member))["counters"][name]
                 .get<std::uint64_t>();
  return sum;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? -1 : values[values.size() / 2];
}

bool holds_gone(const Simulation& simulation, std::size_t observer, std::size_t subject) {
  const Member* seen = simulation.agent(observer).view().find(simulation.name(subject));
  return seen && !seen->is_live();
}

void loss(int seeds) {
  std::printf(
      "# members loss_percent first_gone_periods all_gone_periods(median) all_gone(max) suspicions "
      "false_gone"
      " (both per member and 1,000 periods)\n");
  for (const std::size_t members : {24u, 100u})
    for (const int loss_percent : {0, 10, 20, 30, 40}) {
      std::vector<double> first, all;
      double suspected = 0, false_gone = 0;
      for (int seed = 1; seed <= seeds; ++seed) {
        Simulation simulation = started_simulation(members, static_cast<std::uint64_t>(seed));
        simulation.run_periods(30);
        Link link;
        link.loss = loss_percent / 100.0;
        simulation.set_link(link);
        simulation.run_periods(200);
        suspected += static_cast<double>(total_counter(simulation, "suspected"));
        false_gone += static_cast<double>(total_counter(simulation, "gone"));
        const auto victim = members / 2;
        simulation.kill(victim);
        double passed = 0, first_seen = -1;
        for (; passed < 400; passed += 0.25, simulation.run_periods(0.25)) {
          std::size_t observers = 0;
          for (std::size_t observer = 0; observer < members; ++observer)
            observers += observer != victim && holds_gone(simulation, observer, victim) ? 1 : 0;
          if (observers > 0 && first_seen < 0)
            first_seen = passed;
          if (observers == members - 1)
            break;
        }
        first.push_back(first_seen);
        all.push_back(passed);
      }
      const double scale = 1000.0 / (200.0 * static_cast<double>(members) * seeds);
      std::printf("%zu %d %.2f %.2f %.2f %.2f %.3f\n", members, loss_percent, median(first), median(all),
                  *std::max_element(all.begin(), all.end()), suspected * scale, false_gone * scale);
      std::fflush(stdout);
    }
}

void traffic(int seeds) {
  std::printf(
      "# members joined_in_periods then per member and period: datagrams bytes; over all: largest datagram,"
      " most datagrams in a period\n");
  for (const std::size_t members : {3u, 24u, 100u, 300u, 1000u}) {
    std::vector<double> joins;
    double datagrams = 0, bytes = 0;
    std::size_t largest_bytes = 0, max_per_period = 0;
    const int runs = members >= 300 ? 1 : seeds;
    for (int seed = 1; seed <= runs; ++seed) {
      Simulation simulation = started_simulation(members, static_cast<std::uint64_t>(seed));
      joins.push_back(simulation.run_until([&] { return simulation.converged(); }, 300).value_or(-1));
      simulation.run_periods(60);
      const auto sum = [&] {
        Simulation::Traffic total;
        for (std::size_t member = 0; member < members; ++member) {
          total.datagrams += simulation.traffic(member).datagrams;
          total.bytes += simulation.traffic(member).bytes;
          total.largest_bytes = std::max(total.largest_bytes, simulation.traffic(member).largest_bytes);
          total.max_per_period = std::max(total.max_per_period, simulation.traffic(member).max_per_period);
        }
        return total;
      };
      const auto before = sum();
      simulation.run_periods(60);
      const auto after = sum();
      const double scale = 1.0 / (60.0 * static_cast<double>(members) * runs);
      datagrams += static_cast<double>(after.datagrams - before.datagrams) * scale;
      bytes += static_cast<double>(after.bytes - before.bytes) * scale;
      largest_bytes = std::max(largest_bytes, after.largest_bytes);
      max_per_period = std::max(max_per_period, after.max_per_period);
    }
    std::printf("%zu %.0f %.2f %.0f %zu %zu\n", members, median(joins), datagrams, bytes, largest_bytes,
                max_per_period);
    std::fflush(stdout);
  }
}

void heal(int seeds) {
  std::printf("# members halves_apart_for_periods one_view_after_heal(median) (max) bound\n");
  for (const std::size_t members : {3u, 24u, 100u, 300u, 1000u}) {
    std::vector<double> times;
    const double partition_periods = 80;
    for (int seed = 1; seed <= (members >= 300 ? 1 : seeds); ++seed) {
      Simulation simulation = started_simulation(members, static_cast<std::uint64_t>(seed));
      simulation.run_until([&] { return simulation.converged(); }, 300);
      Simulation::Members left, right;
      for (std::size_t member = 0; member < members; ++member)
        (member % 2 ? left : right).push_back(member);
      const auto partition = simulation.partition(left, right);
      simulation.run_periods(partition_periods);
      simulation.heal(partition);
      std::string why;
      const auto converged_after = simulation.run_until([&] { return simulation.converged(&why); }, 400);
      if (!converged_after)
        std::printf("# views still differ: %s\n", why.c_str());
      times.push_back(converged_after.value_or(-1));
    }
    std::printf("%zu %.0f %.0f %.0f %.0f\n", members, partition_periods, median(times),
                *std::max_element(times.begin(), times.end()), max_convergence_periods(members));
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string table = argc > 1 ? argv[1] : "";
  const int seeds = argc > 2 ? std::max(1, std::atoi(argv[2])) : 10;
  if (table == "loss")
    return loss(seeds), 0;
  if (table == "traffic")
    return traffic(seeds), 0;
  if (table == "heal")
    return heal(seeds), 0;
  std::fprintf(stderr, "usage: peers_measure loss | traffic | heal [SEEDS]\n");
  return 2;
}
