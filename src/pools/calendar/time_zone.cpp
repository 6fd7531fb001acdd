#include "pools/calendar/time_zone.h"

#include <date/tz.h>

#include <sstream>
#include <stdexcept>

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

std::int32_t parse_day(const std::string& text) {
  std::istringstream in(text);
  date::sys_days day;
  in >> date::parse("%F", day);
  if (in.fail() || text.size() != 10 || in.peek() != std::istringstream::traits_type::eof())
    return -1;
  return static_cast<std::int32_t>(day.time_since_epoch().count());
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
