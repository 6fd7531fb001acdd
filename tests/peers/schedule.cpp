#include "schedule.h"

#include <algorithm>
#include <cmath>

#include "peers/membership/limits.h"

namespace lemonroute::peers {
namespace {

using namespace std::chrono_literals;
using membership::Random;

std::size_t drawn_size(Random& random) {
  const auto kind = random.below(20);
  if (kind < 13)
    return 2 + random.below(11);
  return kind < 19 ? 13 + random.below(18) : 31 + random.below(50);
}

Link drawn_link(Random& random) {
  Link link;
  link.latency = Micros(1000 + random.below(60'000));
  link.jitter = Micros(random.below(60'000));
  link.lose = random.below(3) ? 0 : random.below(10) / 100.0;
  link.repeat = random.below(2) * 0.05;
  link.reorder = random.below(2) * 0.1;
  link.corrupt = random.below(3) ? 0 : 0.02;
  return link;
}

World::Members drawn_part(Random& random, std::size_t members) {
  World::Members part;
  for (std::size_t member = 0; member < members; ++member)
    if (random.below(2))
      part.push_back(member);
  return part;
}

World::Members others(const World::Members& part, std::size_t members) {
  World::Members rest;
  for (std::size_t member = 0; member < members; ++member)
    if (std::find(part.begin(), part.end(), member) == part.end())
      rest.push_back(member);
  return rest;
}

void three_parts(World& world, Random& random) {
  World::Members parts[3];
  for (std::size_t member = 0; member < world.size(); ++member)
    parts[random.below(3)].push_back(member);
  std::vector<std::size_t> cuts;
  for (int part = 0; part < 3; ++part)
    cuts.push_back(world.cut(parts[part], parts[(part + 1) % 3]));
  world.run_periods(random.below(40));
  random.shuffle(cuts);
  for (const auto cut : cuts) {
    world.heal(cut);
    world.run_periods(random.below(15));
  }
}

void act(World& world, Random& random) {
  const auto one = random.below(world.size());
  switch (random.below(16)) {
    case 0:
      return world.kill(one);
    case 1:
      return world.start(one);
    case 2:
      return world.restart(one);
    case 3:
      return world.freeze(one);
    case 4:
      return world.thaw(one);
    case 5:
      return world.slow(one, Micros(random.below(800'000)));
    case 6:
      return world.lose(one, 0.3);
    case 7: {
      const auto part = drawn_part(random, world.size());
      world.cut(part, others(part, world.size()));  // halves
      return;
    }
    case 8: {
      const auto part = drawn_part(random, world.size());
      world.cut(part, others(part, world.size()), false);
      return;
    }
    case 9:
      world.cut({one}, others({one}, world.size()), random.below(2));
      return;
    case 10:
      return three_parts(world, random);
    case 11:
      for (const auto member : drawn_part(random, world.size()))
        world.restart(member);
      return;
    case 12:
      for (std::size_t member = 0; member < world.size(); ++member)
        world.kill(member);
      return world.start_all();
    case 13:
      return world.leave(one);
    case 14:
      world.clock(one, Micros(random.below(86'400'000)) * 1000 - 12h, (random.below(41) - 20.0) / 1000);
      return world.restart(one);
    case 15:
      return world.heal_all();
  }
}

// Answers are to be counted apart from what a router does of its own: one for each ping, question and
// exchange.
std::size_t most_datagrams(std::size_t members) {
  return 64 + 36 + 6 * members + 512;
}

std::string broken_bound(const World& world) {
  for (std::size_t member = 0; member < world.size(); ++member) {
    const auto& traffic = world.traffic(member);
    if (traffic.largest > membership::limits::plain_bytes)
      return "a datagram is too long";
    if (traffic.most_in_period > most_datagrams(world.size()))
      return world.name(member) + " sends too much in a period";
    if (world.running(member) && world.agent(member).view().members.size() > world.size())
      return world.name(member) + " knows members that never were";
  }
  return "";
}

}  // namespace

double periods_to_one_view(std::size_t members) {
  return 40 + 30 * std::ceil(std::log10(static_cast<double>(members) + 1));
}

Played play_schedule(std::uint64_t seed) {
  Random random(seed * 2 + 1);
  World::Settings settings;
  settings.seed = seed;
  settings.link = drawn_link(random);
  settings.seeds = 1 + random.below(3);
  World world(settings);
  Played played;
  played.members = drawn_size(random);
  world.add_many(played.members, 1 + random.below(4));
  const auto fails = [&](std::string why) {
    played.why = std::move(why);
    played.trace = world.trace();
    played.digest = world.digest();
    return played;
  };

  for (std::size_t member = 0; member < played.members; ++member) {
    world.start(member);
    if (random.below(4) == 0)
      world.run_for(Micros(random.below(2'000'000)));
  }
  world.run_periods(random.below(20));
  for (auto left = 2 + random.below(9); left > 0; --left) {
    act(world, random);
    world.run_periods(random.below(20));
    if (auto why = broken_bound(world); !why.empty())
      return fails(why);
  }

  world.heal_all();
  settings.link.lose = settings.link.corrupt = 0;
  world.link(settings.link);
  bool seeds_run = false;
  for (std::size_t member = 0; member < settings.seeds && member < world.size(); ++member)
    seeds_run |= world.running(member);
  if (!seeds_run)
    world.start(0);  // those who joined nobody can't find the others without any seed
  std::string why;
  const double most = periods_to_one_view(played.members);
  for (double passed = 0; passed < most + 10; ++passed) {
    const bool one = world.one_view(&why);
    if (!one && passed > most)
      return fails("no one view: " + why);
    if (!one)
      played.healed_in = passed + 1;
    world.run_periods(1);
  }
  if (world.false_gone() > 0)
    return fails("one who is alive is held gone");
  if (why = broken_bound(world); !why.empty())
    return fails(why);
  played.held = true;
  played.trace = world.trace();
  played.digest = world.digest();
  return played;
}

}  // namespace lemonroute::peers
