#include "pools/demand/own.h"

#include <algorithm>
#include <cmath>

namespace lemonroute::pools {

void Own::add(const NodeObserver::Demand& seen, Micros now) {
  const auto all = static_cast<double>(seen.accepted_requests + seen.rejected_requests);
  const double refused = all > 0 ? static_cast<double>(seen.rejected_requests) / all : 0;
  const double filled = std::clamp(seen.own_load, 0.0, 1.0) * seen.decode_nodes;
  const double wanted = filled / (1 - std::min(refused, most_refused));
  const double part =
      at_ == Micros(0)
          ? 1
          : 1 - std::exp(-std::chrono::duration<double>(now - at_) / std::chrono::duration<double>(fade));
  writers_ += part * (wanted - writers_);
  refused_ += part * (refused - refused_);
  at_ = now;
}

std::optional<Report> Own::report(Micros now) const {
  if (at_ == Micros(0))
    return std::nullopt;  // not the same as no demand
  return Report{static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count() / 1000)), writers_,
                refused_};
}

}  // namespace lemonroute::pools
