#include "pools/calendar/calendar.h"

#include <numeric>

namespace lemonroute::pools {

Calendar::Calendar(CalendarUnit unit, const std::map<std::string, RegionHours>& regions) : unit_(unit) {
  for (const auto& [name, hours] : regions)
    regions_.push_back({hours, TimeZone(hours.zone)});
}

std::vector<double> Calendar::expected(Micros at) const {
  std::vector<double> all;
  for (const auto& [hours, zone] : regions_) {
    const LocalTime local = zone.local_time(at);
    const auto holiday = hours.holidays.find(local.day);
    const Day& day = holiday == hours.holidays.end() ? hours.week[local.weekday] : holiday->second;
    double expected = hours.default_expected;
    for (const auto& range : day)
      if (local.minute >= range.from && local.minute < range.until)
        expected = range.expected;
    all.push_back(expected);
  }
  return all;
}

std::vector<double> Calendar::wanted_shares(Micros at) const {
  auto all = expected(at);
  if (unit_ == CalendarUnit::share)
    return all;
  const double sum = std::accumulate(all.begin(), all.end(), 0.0);
  for (auto& one : all)
    one = sum > 0 ? one / sum : 0;
  return all;
}

std::optional<std::pair<Micros, double>> Calendar::find_sum_over_one(Micros from) const {
  if (unit_ != CalendarUnit::share)
    return std::nullopt;
  // Hours are written in minutes and the offsets of time zones are multiples of 15 minutes, so the shares can
  // change only at the written minutes modulo 15. Of each quarter of an hour, only those minutes and the
  // first one are checked.
  std::vector<bool> checked_minutes(15);
  checked_minutes[0] = true;
  const auto add_boundaries = [&checked_minutes](const Day& day) {
    for (const auto& range : day)
      checked_minutes[range.from.count() % 15] = checked_minutes[range.until.count() % 15] = true;
  };
  for (const auto& region : regions_) {
    for (const auto& day : region.hours.week)
      add_boundaries(day);
    for (const auto& [date, day] : region.hours.holidays)
      add_boundaries(day);
  }
  const auto find_in = [&](Micros begin, int days) -> std::optional<std::pair<Micros, double>> {
    for (Micros at = begin; at < begin + std::chrono::hours(24 * days); at += std::chrono::minutes(15))
      for (std::size_t m = 0; m < checked_minutes.size(); ++m) {
        if (!checked_minutes[m])
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
      if (auto found = find_in(std::chrono::hours(24 * (day - 1)), 3))
        return found;
  // Every week is checked, because the regions' clocks change at different weekends.
  for (int week = 0; week < 104; ++week)
    if (auto found = find_in(from + std::chrono::hours(24 * 7 * week), 7))
      return found;
  return std::nullopt;
}

std::optional<std::pair<std::size_t, std::size_t>> find_overlap(const Day& day) {
  for (std::size_t i = 0; i < day.size(); ++i)
    for (std::size_t j = i + 1; j < day.size(); ++j)
      if (day[i].from < day[j].until && day[j].from < day[i].until)
        return std::pair(i, j);
  return std::nullopt;
}

}  // namespace lemonroute::pools
