// Checks rule 5, on held state, from events at the nodes alone: attempts that arrive at a running process and
// end there. A reservation is the state of a request that a prefill node holds for the decode node. While no
// attempt of the request runs at a node, a reservation must be taken or released within the release timeout,
// counted from the end of the last attempt.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "lemonroute/scheduler.h"

namespace lemonroute::held_state {

// A reservation that was held longer than allowed.
struct OverdueReservation {
  std::string request, node;
  Micros idle_since{}, detected_at{};
};

class ReservationChecker {
 public:
  explicit ReservationChecker(Micros max_idle_time) : max_idle_time_(max_idle_time) {}
  void on_reserved(Micros now, const std::string& request, const std::string& node);
  void on_attempt_arrived(const std::string& request) { ++requests_[request].running_attempts; }
  void on_attempt_ended(Micros now, const std::string& request);  // of an attempt that had arrived
  // All reservations of the request were taken by an attempt or released by a call.
  void on_released(const std::string& request) { requests_[request].reserved_at.clear(); }
  void on_node_process_ended(const std::string& node);  // its reservations are lost
  // The router of the request has ended; its reservations are checked no more.
  void on_router_ended(const std::string& request) { requests_.erase(request); }
  bool has_reservation(const std::string& request) const;
  std::optional<OverdueReservation> find_overdue(Micros now) const;

 private:
  struct RequestState {
    std::map<std::string, Micros> reserved_at;  // by node name
    int running_attempts = 0;                   // that have arrived and not ended
    Micros last_attempt_end{};
  };
  Micros max_idle_time_;
  std::map<std::string, RequestState> requests_;
};

}  // namespace lemonroute::held_state
