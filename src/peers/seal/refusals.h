// What was refused of what arrived, counted, and said once a minute in one line. Free of I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers::seal {

class Refusals {
 public:
  enum Kind : std::uint8_t { oversize, version, key, replay, forged, flood, kinds };
  static constexpr std::array<const char*, kinds> names{"oversize", "unknown_version", "unknown_key",
                                                        "replayed", "forged",          "flood"};
  void count(Kind kind, const std::string& from);
  const std::array<std::uint64_t, kinds>& all() const { return all_; }
  // The line, where something was refused since the last one, and that one is a minute ago.
  std::optional<std::string> line(Micros now);

 private:
  std::array<std::uint64_t, kinds> all_{}, told_{};
  std::string last_from_;
  std::optional<Micros> at_;
};

}  // namespace lemonroute::peers::seal
