// Counters of refused datagrams, and one log line a minute at most that sums them up. Free of I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers::seal {

/// Counts refused datagrams by reason and makes a rate-limited log line of them.
class RefusalCounters {
 public:
  /// Why a datagram was refused; `flood` is a datagram over a rate limit.
  enum Kind : std::uint8_t { oversize, unknown_version, unknown_key, replayed, forged, flood, kind_count };
  /// The name of each kind in the log line and in the management JSON.
  static constexpr std::array<const char*, kind_count> names{"oversize", "unknown_version", "unknown_key",
                                                             "replayed", "forged",          "flood"};
  /// Counts one datagram refused from the address `from`.
  void count(Kind kind, const std::string& from);
  /// Totals since the start, by kind.
  const std::array<std::uint64_t, kind_count>& totals() const { return totals_; }
  /// A log line of the datagrams refused since the last line. Nothing if there are none, or if the last line
  /// is less than a minute old.
  std::optional<std::string> take_log_line(Micros now);

 private:
  std::array<std::uint64_t, kind_count> totals_{}, logged_{};
  std::string last_from_;
  std::optional<Micros> logged_at_;
};

}  // namespace lemonroute::peers::seal
