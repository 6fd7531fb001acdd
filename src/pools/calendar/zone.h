// The wall clock of a region: which local day and minute an instant is, through both clock changes of the
// year.
#pragma once

#include <chrono>
#include <string>

#include "lemonroute/scheduler.h"

namespace date {
class time_zone;
}

namespace lemonroute::pools {

struct LocalTime {
  std::int32_t day = 0;           // since 1970-01-01
  std::uint32_t weekday = 0;      // 0 = Monday
  std::chrono::minutes minute{};  // of that day, 0 to 1439
};

// Days since 1970-01-01 of "2026-12-25"; negative where it is no date.
std::int32_t day_of(const std::string& text);
std::string day_text(std::int32_t day);

class Zone {
 public:
  // Throws std::invalid_argument for a zone that the system's tzdata does not know.
  explicit Zone(const std::string& name);
  // Where the clock is put back, the minutes that come twice count once: through their second pass the wall
  // clock is taken to stand at the last minute of the first one, so that nothing begins or ends again.
  // Minutes that are left out when it is put forward do not occur. `at`: Unix time.
  LocalTime at(Micros at) const;

 private:
  const date::time_zone* zone_;  // lives as long as the process
};

}  // namespace lemonroute::pools
