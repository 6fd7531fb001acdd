// Time zones: converts instants to local days and minutes, including at daylight saving time changes.
#pragma once

#include <chrono>
#include <string>

#include "lemonroute/scheduler.h"

namespace date {
class time_zone;
}

namespace lemonroute::pools {

/// A local time in a time zone.
struct LocalTime {
  std::int32_t day = 0;           ///< days since 1970-01-01
  std::uint32_t weekday = 0;      ///< 0 = Monday
  std::chrono::minutes minute{};  ///< of that day, 0 to 1439
};

/// Parses a date such as "2026-12-25" to days since 1970-01-01; negative if it is not a date.
std::int32_t parse_day(const std::string& text);
/// Formats days since 1970-01-01 as a date such as "2026-12-25".
std::string format_day(std::int32_t day);

/// A time zone of the system's tzdata.
class TimeZone {
 public:
  /// Throws std::invalid_argument if the system's tzdata does not have the zone.
  explicit TimeZone(const std::string& name);
  /// Converts a Unix time to the local time. When clocks go back, the repeated minutes occur once: during
  /// their second occurrence the local time stays at the last minute of the first one, so that no time range
  /// begins or ends again. Minutes that are skipped when clocks go forward do not occur.
  LocalTime local_time(Micros at) const;

 private:
  const date::time_zone* zone_;  // lives as long as the process
};

}  // namespace lemonroute::pools
