// The operator's calendar: how many decode nodes each region is expected to need at each minute.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/calendar/time_zone.h"

namespace lemonroute::pools {

/// A time range of a day. Times are minutes of the day, 0 to 1440.
struct TimeRange {
  /// Begin and end of the range.
  std::chrono::minutes from{}, until{};  ///< `until` is not included
  double expected = 0;                   ///< in the calendar's unit
};
using Day = std::vector<TimeRange>;  ///< time ranges that do not overlap

/// One region's calendar.
struct RegionHours {
  std::string zone;                      ///< IANA name of the time zone
  double default_expected = 0;           ///< expected outside of all time ranges
  std::array<Day, 7> week;               ///< from Monday on
  std::map<std::int32_t, Day> holidays;  ///< by days since 1970-01-01; each replaces the weekday's hours
};

/// Unit of the numbers in a calendar.
enum class CalendarUnit : std::uint8_t {
  share,     ///< share of all decode nodes, 0 to 1; the regions' shares sum up to at most 1 at every minute
  requests,  ///< requests per second; a region wants its share of the regions' sum
};

/// The calendars of all regions.
class Calendar {
 public:
  /// Regions are in name order. Throws std::invalid_argument if a time zone is unknown.
  Calendar(CalendarUnit unit, const std::map<std::string, RegionHours>& regions);

  /// Wanted share of all decode nodes for each region, in name order. `at`: Unix time.
  std::vector<double> wanted_shares(Micros at) const;
  /// The numbers as written, in the calendar's unit, for each region in name order.
  std::vector<double> expected(Micros at) const;
  /// A time at which the shares sum up to more than 1, and their sum. Checks the days around each holiday,
  /// then the two years from `from` (Unix time) on. Nothing if there is no such time, or if the unit is not
  /// `share`.
  std::optional<std::pair<Micros, double>> find_sum_over_one(Micros from) const;

 private:
  struct Region {
    RegionHours hours;
    TimeZone zone;
  };
  CalendarUnit unit_;
  std::vector<Region> regions_;
};

/// Indexes of the first two time ranges of the day that overlap; nothing if none do.
std::optional<std::pair<std::size_t, std::size_t>> find_overlap(const Day& day);

}  // namespace lemonroute::pools
