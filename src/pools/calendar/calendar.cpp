#include "pools/calendar/calendar.h"

#include <numeric>

namespace lemonroute::pools {

Calendar::Calendar(Unit unit, const std::map<std::string, RegionHours>& regions) : unit_(unit) {
  for (const auto& [name, hours] : regions)
    regions_.push_back({hours, Zone(hours.zone)});
}

std::vector<double> Calendar::expected(Micros at) const {
  std::vector<double> all;
  for (const auto& [hours, zone] : regions_) {
    const LocalTime now = zone.at(at);
    const auto holiday = hours.holidays.find(now.day);
    const Day& day = holiday == hours.holidays.end() ? hours.week[now.weekday] : holiday->second;
    double expected = hours.otherwise;
    for (const auto& stretch : day)
      if (now.minute >= stretch.from && now.minute < stretch.until)
        expected = stretch.expected;
    all.push_back(expected);
  }
  return all;
}

std::vector<double> Calendar::wanted(Micros at) const {
  auto all = expected(at);
  if (unit_ == Unit::share)
    return all;
  const double sum = std::accumulate(all.begin(), all.end(), 0.0);
  for (auto& one : all)
    one = sum > 0 ? one / sum : 0;
  return all;
}

std::optional<std::pair<Micros, double>> Calendar::over_one(Micros from) const {
  if (unit_ != Unit::share)
    return std::nullopt;
  // Hours are written in minutes and zones stand at quarters of an hour from each other, so most calendars
  // change at quarters; the others are found at the minutes that are written.
  std::vector<bool> minutes(15);
  minutes[0] = true;
  const auto note = [&minutes](const Day& day) {
    for (const auto& one : day)
      minutes[one.from.count() % 15] = minutes[one.until.count() % 15] = true;
  };
  for (const auto& region : regions_) {
    for (const auto& day : region.hours.week)
      note(day);
    for (const auto& [date, day] : region.hours.holidays)
      note(day);
  }
  const auto look = [&](Micros begin, int days) -> std::optional<std::pair<Micros, double>> {
    for (Micros at = begin; at < begin + std::chrono::hours(24 * days); at += std::chrono::minutes(15))
      for (std::size_t m = 0; m < minutes.size(); ++m) {
        if (!minutes[m])
          continue;
        const Micros minute = at + std::chrono::minutes(m);
        const auto all = expected(minute);
        const double sum = std::accumulate(all.begin(), all.end(), 0.0);
        if (sum > 1 + 1e-9)
          return std::pair(minute, sum);
      }
    return std::nullopt;
  };
  for (const auto& region : regions_)
    for (const auto& [day, hours] : region.hours.holidays)
      if (auto found = look(std::chrono::hours(24 * (day - 1)), 3))
        return found;
  // Every week, since clocks change at different week ends.
  for (int week = 0; week < 104; ++week)
    if (auto found = look(from + std::chrono::hours(24 * 7 * week), 7))
      return found;
  return std::nullopt;
}

std::optional<std::pair<std::size_t, std::size_t>> overlap(const Day& day) {
  for (std::size_t i = 0; i < day.size(); ++i)
    for (std::size_t j = i + 1; j < day.size(); ++j)
      if (day[i].from < day[j].until && day[j].from < day[i].until)
        return std::pair(i, j);
  return std::nullopt;
}

}  // namespace lemonroute::pools
