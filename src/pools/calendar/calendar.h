// How many writers each region is expected to need, minute by minute, as operators wrote it down.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pools/calendar/zone.h"

namespace lemonroute::pools {

// From a minute of the day up to another one (not included), 0 to 1440.
struct Stretch {
  std::chrono::minutes from{}, until{};
  double expected = 0;
};
using Day = std::vector<Stretch>;  // they don't overlap

struct RegionHours {
  std::string zone;                      // IANA name
  double otherwise = 0;                  // expected outside of all stretches
  std::array<Day, 7> week;               // from Monday on
  std::map<std::int32_t, Day> holidays;  // by days since 1970-01-01; each replaces the weekday's hours
};

enum class Unit : std::uint8_t {
  share,     // of all writers, 0 to 1; the regions' sum is at most 1 at every minute
  requests,  // per second; a region wants its part of the sum
};

class Calendar {
 public:
  // Throws std::invalid_argument for an unknown zone. Regions in name order.
  Calendar(Unit unit, const std::map<std::string, RegionHours>& regions);

  // Wanted share of all writers for each region, in name order. `at`: Unix time.
  std::vector<double> wanted(Micros at) const;
  // As it is written, in the calendar's unit.
  std::vector<double> expected(Micros at) const;
  // The first of the two years from `from` on (Unix time) at which shares sum up to more than 1, and their
  // sum.
  std::optional<std::pair<Micros, double>> over_one(Micros from) const;

 private:
  struct Region {
    RegionHours hours;
    Zone zone;
  };
  Unit unit_;
  std::vector<Region> regions_;
};

// Two stretches of the day that overlap, as indexes; nothing if none do.
std::optional<std::pair<std::size_t, std::size_t>> overlap(const Day& day);

}  // namespace lemonroute::pools
