// A day of two regions whose demand is the same curve six hours apart, minute by minute, on the calendar, the
// wishes and the planner that serve: how much of what is asked for finds a writer, with pools fixed, moved by
// the calendar, by the calendar and demand, and with the best fixed split known afterwards. A model: a
// request is a minute of a writer, a pool that moves serves nobody for the move's longest time and then warms
// up. Usage: pools_day [SEEDS]
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <random>
#include <vector>

#include "pools/extension/planning.h"

namespace {

using namespace lemonroute;
using namespace lemonroute::pools;

constexpr int minutes_of_day = 1440, pools_each = 6, writers_each = 8, regions = 2;
constexpr double all = regions * pools_each * writers_each;
constexpr Micros day_begins = std::chrono::hours(24 * 20605);      // 2026-06-01, Unix time
constexpr double move_takes = 5, cold_for = 12, cold_from = 0.25;  // seconds; part of its work at first

// What a region asks of writers at a minute of its own day: two humps, as offices have.
double curve(double minute) {
  const auto hump = [minute](double at, double width) {
    return std::exp(-std::pow((minute - at) / width, 2));
  };
  return 8 + 52 * std::max(hump(11 * 60, 130), 0.9 * hump(16 * 60, 120));
}
double local(int minute, int region) {
  return std::fmod(minute + 360.0 * region + minutes_of_day, minutes_of_day);
}

struct DayDrawn {
  std::vector<std::array<double, regions>> asked;  // writers, by minute
};
DayDrawn draw(std::uint64_t seed) {
  std::mt19937_64 rng(seed);
  const auto uniform = [&rng](double from, double to) {
    return from + (to - from) * static_cast<double>(rng() >> 11) / 9007199254740992.0;
  };
  DayDrawn day;
  std::array<double, regions> scale{}, shift{}, surge{}, noise{};
  for (int r = 0; r < regions; ++r)
    scale[r] = uniform(0.8, 1.2), shift[r] = uniform(-60, 60), surge[r] = uniform(0, minutes_of_day);
  for (int m = 0; m < minutes_of_day; ++m) {
    day.asked.emplace_back();
    for (int r = 0; r < regions; ++r) {
      noise[r] = 0.8 * noise[r] + uniform(-0.04, 0.04);
      const double more = m >= surge[r] && m < surge[r] + 60 ? 1.3 : 1;  // an hour that no calendar knows of
      day.asked.back()[r] = scale[r] * more * (1 + noise[r]) * curve(local(m, r) + shift[r]);
    }
  }
  return day;
}

pools::Settings settings() {
  pools::Settings s;
  s.target_fill = 0.85;
  s.max_correction = 0.25;
  s.hysteresis = 0.04;
  s.headroom = 0;  // each region stands at one site here
  s.lead_time = std::chrono::minutes(10);
  for (int r = 0; r < regions; ++r) {
    const std::string name = "r" + std::to_string(r), site = "s" + std::to_string(r);
    s.regions[name] = {{site}, {"a", "b", "c"}, {{site, 0}, {site, 1}}};
    RegionHours hours{"UTC", 0, {}, {}};
    for (auto& each : hours.week)
      for (int m = 0; m < minutes_of_day; m += 30)
        each.push_back({std::chrono::minutes(m), std::chrono::minutes(m + 30),
                        curve(local(m + 15, r)) / s.target_fill / all});
    s.hours[name] = hours;
  }
  return s;
}

struct Outcome {
  double served = 0;  // of what was asked for
  int moves = 0;
};
enum class Way { calendar, demand };

Outcome moved(const DayDrawn& day, Way way) {
  const pools::Settings with = settings();
  const Planning planning(with);
  Inventory stock;
  std::map<PoolName, Planning::PoolState> states;
  for (const auto& [region, one] : with.regions)
    for (std::uint32_t c = 0; c < pools_each; ++c) {
      stock.decode_nodes[{one.sites[0], c}] = writers_each;
      if (c >= 2)
        states[{one.sites[0], c}] = {region, "", false};
    }
  Outcome outcome;
  double asked = 0, served = 0;
  for (int m = 0; m < minutes_of_day; ++m) {
    const auto shares = planning.shares(day_begins + std::chrono::minutes(m), stock);
    std::vector<RegionTarget> wishes;
    for (int r = 0; r < regions; ++r)
      wishes.push_back(region_target(
          with, shares[r], way == Way::demand && m > 0 ? std::optional(day.asked[m - 1][r]) : std::nullopt,
          all));
    const auto plan = planner::plan(planning.inputs(stock, wishes, states, {true, true}));
    std::array<double, regions> writers{};
    for (const auto& move : plan.migrations) {
      states[move.pool].owner = move.to;
      ++outcome.moves;
      const double lost = (move_takes + cold_for * (1 - cold_from) / 2) / 60;
      writers[move.to.back() - '0'] -= lost * writers_each;
    }
    for (const auto& [name, count] : stock.decode_nodes) {
      const auto at = states.find(name);
      writers[(at == states.end() ? name.site : at->second.owner).back() - '0'] += static_cast<double>(count);
    }
    for (int r = 0; r < regions; ++r)
      asked += day.asked[m][r], served += std::min(day.asked[m][r], writers[r]);
  }
  outcome.served = served / asked;
  return outcome;
}

double fixed(const DayDrawn& day, int pools_of_first) {
  const double writers[regions] = {1.0 * pools_of_first * writers_each, all - pools_of_first * writers_each};
  double asked = 0, served = 0;
  for (const auto& minute : day.asked)
    for (int r = 0; r < regions; ++r)
      asked += minute[r], served += std::min(minute[r], writers[r]);
  return served / asked;
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 20;
  std::vector<double> sums(4), least(4, 1), won(4);
  int moves[2] = {0, 0};
  std::printf("seed   fixed  calendar  +demand  best fixed  moves  moves+demand\n");
  for (int seed = 1; seed <= seeds; ++seed) {
    const DayDrawn day = draw(static_cast<std::uint64_t>(seed));
    const auto calendar = moved(day, Way::calendar), demand = moved(day, Way::demand);
    double best = 0;
    for (int split = 0; split <= 2 * pools_each; ++split)
      best = std::max(best, fixed(day, split));
    const double all_ways[4] = {fixed(day, pools_each), calendar.served, demand.served, best};
    std::printf("%4d  %6.4f    %6.4f   %6.4f      %6.4f  %5d  %12d\n", seed, all_ways[0], all_ways[1],
                all_ways[2], all_ways[3], calendar.moves, demand.moves);
    for (int w = 0; w < 4; ++w)
      sums[w] += all_ways[w], least[w] = std::min(least[w], all_ways[w]), won[w] += all_ways[w] > best;
    moves[0] += calendar.moves;
    moves[1] += demand.moves;
  }
  std::printf("mean  %6.4f    %6.4f   %6.4f      %6.4f  %5.1f  %12.1f\n", sums[0] / seeds, sums[1] / seeds,
              sums[2] / seeds, sums[3] / seeds, 1.0 * moves[0] / seeds, 1.0 * moves[1] / seeds);
  std::printf("least %6.4f    %6.4f   %6.4f      %6.4f\n", least[0], least[1], least[2], least[3]);
  std::printf("days better than the best fixed split: calendar %.0f, with demand %.0f of %d\n", won[1],
              won[2], seeds);
}
