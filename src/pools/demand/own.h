// What this router's own streams ask of writers, smoothed, as it tells the others.
#pragma once

#include <optional>

#include "core/fleet_view.h"

namespace lemonroute::pools {

struct Report {
  std::uint64_t sequence = 0;  // grows with each of one sender
  double writers = 0;          // whose whole memory its requests fill, or would
  double refused = 0;          // share of requests, 0 to 1
};

class Own {
 public:
  // Times never go back.
  void add(const NodeObserver::Demand& seen, Micros now);
  std::optional<Report> report(Micros now) const;  // nothing before anything was seen

 private:
  static constexpr Micros fade = std::chrono::seconds(20);
  static constexpr double most_refused = 0.75;  // beyond it, what is refused says little of what is wanted
  double writers_ = 0, refused_ = 0;
  Micros at_{};
};

}  // namespace lemonroute::pools
