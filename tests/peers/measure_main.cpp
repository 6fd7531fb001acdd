// Measures membership in the deterministic world, a table each: peers_measure loss | traffic | heal [SEEDS].
// Columns are separated by blanks, lines that begin with # say what they are: gnuplot reads them as they
// stand.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "schedule.h"

using namespace lemonroute::peers;

namespace {

World joined(std::size_t members, std::uint64_t seed, Link link = {}) {
  World::Settings settings;
  settings.seed = seed;
  settings.link = link;
  World world(settings);
  world.add_many(members, 3);
  world.start_all();
  return world;
}

std::uint64_t counted(const World& world, const char* what) {
  std::uint64_t sum = 0;
  for (std::size_t member = 0; member < world.size(); ++member)
    if (world.running(member))
      sum += world.agent(member).describe(world.local(member))["counters"][what].get<std::uint64_t>();
  return sum;
}

double middle(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? -1 : values[values.size() / 2];
}

bool holds_gone(const World& world, std::size_t who, std::size_t of) {
  const Member* seen = world.agent(who).view().find(world.name(of));
  return seen && !seen->there();
}

void loss(int seeds) {
  std::printf(
      "# members loss_percent first_gone_periods all_gone_periods(middle) all_gone(most) suspicions "
      "false_gone"
      " (both per member and 1,000 periods)\n");
  for (const std::size_t members : {24u, 100u})
    for (const int share : {0, 10, 20, 30, 40}) {
      std::vector<double> first, all;
      double suspected = 0, gone = 0;
      for (int seed = 1; seed <= seeds; ++seed) {
        World world = joined(members, static_cast<std::uint64_t>(seed));
        world.run_periods(30);
        Link link;
        link.lose = share / 100.0;
        world.link(link);
        world.run_periods(200);
        suspected += static_cast<double>(counted(world, "suspected"));
        gone += static_cast<double>(counted(world, "gone"));
        const auto victim = members / 2;
        world.kill(victim);
        double passed = 0, began = -1;
        for (; passed < 400; passed += 0.25, world.run_periods(0.25)) {
          std::size_t see = 0;
          for (std::size_t who = 0; who < members; ++who)
            see += who != victim && holds_gone(world, who, victim) ? 1 : 0;
          if (see > 0 && began < 0)
            began = passed;
          if (see == members - 1)
            break;
        }
        first.push_back(began);
        all.push_back(passed);
      }
      const double per = 1000.0 / (200.0 * static_cast<double>(members) * seeds);
      std::printf("%zu %d %.2f %.2f %.2f %.2f %.3f\n", members, share, middle(first), middle(all),
                  *std::max_element(all.begin(), all.end()), suspected * per, gone * per);
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
    std::size_t largest = 0, most = 0;
    const int plays = members >= 300 ? 1 : seeds;
    for (int seed = 1; seed <= plays; ++seed) {
      World world = joined(members, static_cast<std::uint64_t>(seed));
      joins.push_back(world.run_until([&] { return world.one_view(); }, 300).value_or(-1));
      world.run_periods(60);
      const auto sum = [&] {
        World::Traffic all;
        for (std::size_t member = 0; member < members; ++member) {
          all.datagrams += world.traffic(member).datagrams;
          all.bytes += world.traffic(member).bytes;
          all.largest = std::max(all.largest, world.traffic(member).largest);
          all.most_in_period = std::max(all.most_in_period, world.traffic(member).most_in_period);
        }
        return all;
      };
      const auto before = sum();
      world.run_periods(60);
      const auto after = sum();
      const double per = 1.0 / (60.0 * static_cast<double>(members) * plays);
      datagrams += static_cast<double>(after.datagrams - before.datagrams) * per;
      bytes += static_cast<double>(after.bytes - before.bytes) * per;
      largest = std::max(largest, after.largest);
      most = std::max(most, after.most_in_period);
    }
    std::printf("%zu %.0f %.2f %.0f %zu %zu\n", members, middle(joins), datagrams, bytes, largest, most);
    std::fflush(stdout);
  }
}

void heal(int seeds) {
  std::printf("# members halves_apart_for_periods one_view_after_heal(middle) (most) bound\n");
  for (const std::size_t members : {3u, 24u, 100u, 300u, 1000u}) {
    std::vector<double> times;
    const double apart = 80;
    for (int seed = 1; seed <= (members >= 300 ? 1 : seeds); ++seed) {
      World world = joined(members, static_cast<std::uint64_t>(seed));
      world.run_until([&] { return world.one_view(); }, 300);
      World::Members left, right;
      for (std::size_t member = 0; member < members; ++member)
        (member % 2 ? left : right).push_back(member);
      const auto cut = world.cut(left, right);
      world.run_periods(apart);
      world.heal(cut);
      std::string why;
      const auto took = world.run_until([&] { return world.one_view(&why); }, 400);
      if (!took)
        std::printf("# not one: %s\n", why.c_str());
      times.push_back(took.value_or(-1));
    }
    std::printf("%zu %.0f %.0f %.0f %.0f\n", members, apart, middle(times),
                *std::max_element(times.begin(), times.end()), periods_to_one_view(members));
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  const int seeds = argc > 2 ? std::max(1, std::atoi(argv[2])) : 10;
  if (what == "loss")
    return loss(seeds), 0;
  if (what == "traffic")
    return traffic(seeds), 0;
  if (what == "heal")
    return heal(seeds), 0;
  std::fprintf(stderr, "peers_measure loss | traffic | heal [SEEDS]\n");
  return 2;
}
