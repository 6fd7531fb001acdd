#include "held/reservation_checker.h"

#include <algorithm>

namespace lemonroute::held_state {

void ReservationChecker::on_reserved(Micros now, const std::string& request, const std::string& node) {
  requests_[request].reserved_at[node] = now;
}

void ReservationChecker::on_attempt_ended(Micros now, const std::string& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  --found->second.running_attempts;
  found->second.last_attempt_end = now;
}

void ReservationChecker::on_node_process_ended(const std::string& node) {
  for (auto& [name, request] : requests_)
    request.reserved_at.erase(node);
}

bool ReservationChecker::has_reservation(const std::string& request) const {
  const auto found = requests_.find(request);
  return found != requests_.end() && !found->second.reserved_at.empty();
}

std::optional<OverdueReservation> ReservationChecker::find_overdue(Micros now) const {
  for (const auto& [name, request] : requests_) {
    if (request.running_attempts > 0)
      continue;
    for (const auto& [node, reserved_at] : request.reserved_at)
      if (const Micros idle_since = std::max(reserved_at, request.last_attempt_end);
          now > idle_since + max_idle_time_)
        return OverdueReservation{name, node, idle_since, now};
  }
  return std::nullopt;
}

}  // namespace lemonroute::held_state
