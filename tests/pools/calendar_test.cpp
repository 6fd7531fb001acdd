#include "pools/calendar/calendar.h"

#include <gtest/gtest.h>

namespace lemonroute::pools {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

Micros utc(const char* day, int hour, int minute = 0) {
  return hours(24 * parse_day(day)) + hours(hour) + minutes(minute);
}
TimeRange time_range(int begin, int end, double expected) {
  return {minutes(begin), minutes(end), expected};
}

// The time of each clock change according to tzdata: the last Sundays of March and October at 1:00 UTC in
// Europe; the second Sunday of March at 7:00 UTC and the first of November at 6:00 UTC in New York.
struct ClockChange {
  const char* zone;
  const char* day;
  int hour;
  bool forward;
  friend void PrintTo(const ClockChange& c, std::ostream* to) { *to << c.zone << ' ' << c.day; }
};
class ClockChanges : public testing::TestWithParam<ClockChange> {};
INSTANTIATE_TEST_SUITE_P(Years, ClockChanges,
                         testing::Values(ClockChange{"Europe/Rome", "2026-03-29", 1, true},
                                         ClockChange{"Europe/Rome", "2026-10-25", 1, false},
                                         ClockChange{"Europe/Rome", "2027-03-28", 1, true},
                                         ClockChange{"Europe/Rome", "2027-10-31", 1, false},
                                         ClockChange{"Europe/Amsterdam", "2026-03-29", 1, true},
                                         ClockChange{"Europe/Amsterdam", "2026-10-25", 1, false},
                                         ClockChange{"Europe/Amsterdam", "2027-03-28", 1, true},
                                         ClockChange{"Europe/Amsterdam", "2027-10-31", 1, false},
                                         ClockChange{"America/New_York", "2026-03-08", 7, true},
                                         ClockChange{"America/New_York", "2026-11-01", 6, false},
                                         ClockChange{"America/New_York", "2027-03-14", 7, true},
                                         ClockChange{"America/New_York", "2027-11-07", 6, false}));

// Local time advances by one minute per minute, except that it skips an hour in spring and stands still for
// an hour in autumn. It never goes back.
TEST_P(ClockChanges, LocalTimeAdvancesByMinutesAndNeverGoesBack) {
  const ClockChange change = GetParam();
  const TimeZone zone(change.zone);
  const Micros at = utc(change.day, change.hour);
  // The minute of the day at the change, by the offset before the change.
  const int unchanged_minute = change.forward || std::string(change.zone) == "America/New_York" ? 120 : 180;
  for (int m = -110; m < 240; ++m) {
    const LocalTime local = zone.local_time(at + minutes(m));
    const int wall = static_cast<int>(local.minute.count());
    int expected = unchanged_minute + m;
    if (m >= 0)
      expected = change.forward ? unchanged_minute + m + 60
                 : m < 60       ? unchanged_minute - 1
                                : unchanged_minute + m - 60;
    EXPECT_EQ(wall, expected) << m;
    EXPECT_EQ(local.weekday, 6u);
    EXPECT_EQ(local.day, parse_day(change.day));
  }
}

// Each time range of the day begins and ends once at most, also on days with a clock change.
TEST_P(ClockChanges, TimeRangesBeginOnceAtMost) {
  const ClockChange change = GetParam();
  for (int begin = 0; begin < 300; begin += 10)
    for (int length : {10, 30, 60, 90}) {
      RegionHours region{change.zone, 0, {}, {}};
      region.week[6] = {time_range(begin, begin + length, 0.5)};
      const Calendar calendar(CalendarUnit::share, {{"r", region}});
      int begins = 0, on = 0;
      double last = 0;
      for (int m = -400; m < 500; ++m) {
        const double now = calendar.wanted_shares(utc(change.day, change.hour) + minutes(m))[0];
        begins += now > last;
        on += now > 0;
        last = now;
      }
      EXPECT_LE(begins, 1) << begin;
      EXPECT_LE(on, length + 60);
      // Only a time range within the hour that is skipped in spring does not occur.
      const bool skipped = change.forward && begin >= 120 && begin + length <= 180;
      EXPECT_EQ(begins == 0, skipped) << begin;
    }
}

TEST(Calendar, HolidaysReplaceTheWeekday) {
  RegionHours region{"Europe/Rome", 0.1, {}, {}};
  region.week[4] = {time_range(480, 1080, 0.6)};  // Fridays
  region.holidays[parse_day("2026-12-25")] = {time_range(600, 720, 0.2)};
  const Calendar calendar(CalendarUnit::share, {{"rome", region}});
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-18", 9))[0], 0.6);
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-18", 6, 59))[0], 0.1);
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-18", 7))[0], 0.6);   // 8:00 in Rome
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-18", 17))[0], 0.1);  // `until` is not included
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-25", 9))[0], 0.2);
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-25", 7))[0], 0.1);
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-24", 22, 59))[0], 0.1);
  EXPECT_EQ(calendar.wanted_shares(utc("2026-12-26", 9))[0], 0.1);
}

TEST(Calendar, RequestsAreConvertedToShares) {
  RegionHours a{"Europe/Rome", 30, {}, {}}, b{"America/New_York", 10, {}, {}};
  const Calendar calendar(CalendarUnit::requests, {{"a", a}, {"b", b}});
  EXPECT_EQ(calendar.wanted_shares(utc("2026-06-01", 0)), (std::vector<double>{0.75, 0.25}));
  EXPECT_EQ(Calendar(CalendarUnit::requests, {{"a", {"UTC", 0, {}, {}}}}).wanted_shares(Micros(0))[0], 0);
}

// Time ranges with shares of 0.7 that are adjacent in winter overlap by an hour in the weeks in which only
// one of the regions has changed its clocks.
TEST(Calendar, FindsSumsOverOneThatOccurInAFewWeeksOnly) {
  RegionHours rome{"Europe/Rome", 0.3, {}, {}}, york{"America/New_York", 0.3, {}, {}};
  for (auto& day : rome.week)
    day = {time_range(480, 960, 0.7)};  // until 15:00 UTC in winter
  for (auto& day : york.week)
    day = {time_range(600, 1080, 0.7)};  // from 15:00 UTC in winter
  const Calendar calendar(CalendarUnit::share, {{"rome", rome}, {"york", york}});
  const auto over = calendar.find_sum_over_one(utc("2026-01-01", 0));
  ASSERT_TRUE(over);
  EXPECT_EQ(over->first, utc("2026-03-08", 14));
  EXPECT_NEAR(over->second, 1.4, 1e-9);
  for (auto& day : york.week)
    day = {time_range(660, 1080, 0.7)};
  EXPECT_FALSE(Calendar(CalendarUnit::share, {{"rome", rome}, {"york", york}})
                   .find_sum_over_one(utc("2026-01-01", 0)));
}

}  // namespace
}  // namespace lemonroute::pools
