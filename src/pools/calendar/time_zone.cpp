#include "pools/calendar/time_zone.h"

#include <date/tz.h>

#include <charconv>
#include <stdexcept>
#include <string_view>

namespace lemonroute::pools {

namespace {
const date::time_zone* find_zone(const std::string& name) {
  try {
    return date::locate_zone(name);
  } catch (const std::runtime_error&) {
    throw std::invalid_argument("'" + name + "' is no zone of the system's tzdata");
  }
}
}  // namespace

// Not by date::parse: the compiler of arm64 warns of the library's reader, and CI takes warnings for errors.
std::int32_t parse_day(const std::string& text) {
  const std::string_view digits = "0123456789";
  const auto number = [&](std::size_t from, std::size_t size) {
    const std::string_view part = std::string_view(text).substr(from, size);
    int value = -1;
    if (part.find_first_not_of(digits) == std::string_view::npos)
      std::from_chars(part.data(), part.data() + part.size(), value);
    return value;
  };
  if (text.size() != 10 || text[4] != '-' || text[7] != '-')
    return -1;
  const int year = number(0, 4), month = number(5, 2), day = number(8, 2);
  if (year < 0 || month < 0 || day < 0)
    return -1;
  const date::year_month_day parsed(date::year(year), date::month(static_cast<unsigned>(month)),
                                    date::day(static_cast<unsigned>(day)));
  return parsed.ok() ? static_cast<std::int32_t>(date::sys_days(parsed).time_since_epoch().count()) : -1;
}

std::string format_day(std::int32_t day) {
  return date::format("%F", date::sys_days(date::days(day)));
}

TimeZone::TimeZone(const std::string& name) : zone_(find_zone(name)) {}

LocalTime TimeZone::local_time(Micros at) const {
  const auto instant = date::sys_seconds(std::chrono::floor<std::chrono::seconds>(at));
  const auto info = zone_->get_info(instant);
  auto local = instant.time_since_epoch() + info.offset;
  // The tables begin before 1970, where no previous offset exists; earlier clock changes do not matter.
  if (info.begin.time_since_epoch() > std::chrono::hours(0)) {
    const auto offset_before = zone_->get_info(info.begin - std::chrono::seconds(1)).offset;
    const auto first_occurrence_ends = info.begin.time_since_epoch() + offset_before;
    // Without this, a time range until 02:30 would end at the first 02:30 and apply again at the second
    // 02:00.
    if (offset_before > info.offset && local < first_occurrence_ends)
      local = first_occurrence_ends - std::chrono::seconds(1);
  }
  const auto day = std::chrono::floor<date::days>(local);
  LocalTime time;
  time.day = static_cast<std::int32_t>(day.count());
  time.weekday = date::weekday(date::sys_days(day)).iso_encoding() - 1;
  time.minute = std::chrono::floor<std::chrono::minutes>(local - day);
  return time;
}

}  // namespace lemonroute::pools
